"""Requests to services and what an entry knows about each of them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from damaskpin.service import claims


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a caller waits for.

    :ivar id: identifier, unique in the fleet.
    :ivar idempotent: whether it may run more than once.
    :ivar idempotency_key: the caller's key or one issued by the system;
        empty for none.
    :ivar deadline_seconds: seconds after submission at which the caller must
        have the verdict.
    """

    id: str
    account: str
    service: str
    body: bytes
    deadline_seconds: float
    content_type: str = 'application/octet-stream'
    idempotent: bool = False
    idempotency_key: str = ''
    priority: jobs.Priority = jobs.Priority.NORMAL
    trace: str = ''


class Phase(enum.Enum):
    """What a request is doing.

    An idempotent request may wait for a further attempt while an earlier one
    is still open.
    """

    WAITING = 'waiting'
    CLAIMING = 'claiming'
    SENT = 'sent'
    ENDING = 'ending'


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that may run, or may have run.

    :ivar expires_uptime: uptime of the agent after which it must refuse.
    :ivar doubtful: its outcome will probably never be known.
    :ivar counted: the router counts it as outstanding.
    :ivar sent: when it was sent first, or ``None``.
    :ivar unheard: queries since the agent was last heard.
    :ivar lost_at: when the agent was reported as lost, or ``None``.
    """

    id: str
    instance: str
    incarnation: str
    expires_uptime: float
    doubtful: bool = False
    counted: bool = False
    sent: float | None = None
    next_poll: float = 0.0
    poll_interval: float = 0.0
    unheard: int = 0
    silent: bool = False
    lost_at: float | None = None


@dataclasses.dataclass(slots=True)
class Work:
    """A request in progress.

    :ivar deadline: monotonic time of the deadline.
    :ivar give_up: when an ending request gets its verdict at the latest.
    :ivar attempts: attempts that are not known to have never run. The verdict
        "not run" is truthful exactly when it is empty.
    :ivar planned: attempt whose claim is being written; never sent yet.
    :ivar settler: writes the claim of a request with a caller's key.
    :ivar check_at: when the next check is planned.
    :ivar joined: an earlier request with the same key was found.
    :ivar claim: what the store is known to hold for the key.
    :ivar pinned: attempt that a key issued by the system names.
    :ivar excluded: agents that are not tried again for now.
    :ivar not_before: back-off after refusals.
    """

    request: Request
    digest: bytes
    submitted: float
    deadline: float
    phase: Phase = Phase.WAITING
    check_at: float = float('inf')
    give_up: float = float('inf')
    end_reason: str = ''
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    planned: Attempt | None = None
    settler: claims.Settler | None = None
    claim: claims.Claim | None = None
    pinned: Attempt | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    refusals: int = 0
    retries: int = 0
    not_before: float = 0.0
    joined: bool = False
    running: bool = False
    concluded: bool = False

    def has_open_attempt(self) -> bool:
        """Return whether the outcome of an attempt is still awaited."""
        return any(not attempt.doubtful for attempt in self.attempts.values())
