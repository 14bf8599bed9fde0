"""Service requests, and the state that an entry keeps for each of them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from damaskpin.service import claims


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A service request, for whose verdict a caller waits.

    :ivar id: identifier, unique in the fleet.
    :ivar idempotent: whether the request may run more than once.
    :ivar idempotency_key: key that the caller chose or that an entry issued
        to the caller; empty for none.
    :ivar deadline_seconds: seconds from submission to the deadline of the
        verdict.
    :ivar trace: trace context, passed on to the target.
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
    """Phase of a request in progress.

    The request waits for a slot, its claim is being written, its attempt was
    sent, or its attempts are being cancelled. An idempotent request may be in
    the phase ``WAITING`` for another attempt while an earlier one is open.
    """

    WAITING = 'waiting'
    CLAIMING = 'claiming'
    SENT = 'sent'
    CANCELLING = 'cancelling'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try to run a request on one agent. Times are monotonic seconds.

    :ivar instance: instance id of the only agent that may run the attempt.
    :ivar incarnation: id of that agent's process run; a restarted agent has
        another one and does not run the attempt.
    :ivar expires_uptime: uptime of the agent in seconds after which it must
        refuse the attempt.
    :ivar uncertain: whether the outcome of the attempt will probably never be
        known.
    :ivar occupies_slot: whether the router counts a slot as taken by the
        attempt.
    :ivar sent_at: when the attempt was first sent, or ``None``.
    :ivar next_poll_at: when the next query about the attempt is due.
    :ivar poll_interval: seconds between queries.
    :ivar unanswered_queries: number of queries since the last reply of the
        agent.
    :ivar silent: whether the agent has left too many queries unanswered.
    :ivar lost_at: when the agent was reported as lost, or ``None``.
    """

    id: str
    instance: str
    incarnation: str
    expires_uptime: float
    uncertain: bool = False
    occupies_slot: bool = False
    sent_at: float | None = None
    next_poll_at: float = 0.0
    poll_interval: float = 0.0
    unanswered_queries: int = 0
    silent: bool = False
    lost_at: float | None = None


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request in progress. Times are monotonic seconds.

    :ivar digest: digest of the service, content type and body.
    :ivar submitted_at: when the request was submitted.
    :ivar deadline: when the caller must have the verdict.
    :ivar next_check_at: when the next check of the request is scheduled.
    :ivar conclude_by: latest time of the verdict of a cancelled request.
    :ivar end_reason: why the request was cancelled.
    :ivar attempts: attempts that may have run, by attempt id. The verdict
        "not run" is truthful only while there are none.
    :ivar planned_attempt: attempt whose claim is being written, and which
        has not been sent yet.
    :ivar claim_writer: writes the claim of the idempotency key to the store;
        ``None`` if no claim is needed.
    :ivar stored_claim: claim that is known to be stored for the key.
    :ivar pinned_attempt: attempt that an issued key names.
    :ivar excluded_agents: agents that are not chosen while others have free
        slots, because they refused an attempt or its outcome is uncertain.
    :ivar refusal_count: number of attempts that agents refused.
    :ivar retry_count: number of retries after an uncertain outcome.
    :ivar next_attempt_at: end of the back-off before the next attempt; no
        attempt starts earlier.
    :ivar has_earlier_claim: whether the key already had the claim of another
        request.
    :ivar counted_as_running: whether the limits count the request as running.
    :ivar concluded: whether the verdict was delivered.
    """

    request: Request
    digest: bytes
    submitted_at: float
    deadline: float
    phase: Phase = Phase.WAITING
    next_check_at: float = float('inf')
    conclude_by: float = float('inf')
    end_reason: str = ''
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    planned_attempt: Attempt | None = None
    claim_writer: claims.ClaimWriter | None = None
    stored_claim: claims.Claim | None = None
    pinned_attempt: Attempt | None = None
    excluded_agents: set[str] = dataclasses.field(default_factory=set)
    refusal_count: int = 0
    retry_count: int = 0
    next_attempt_at: float = 0.0
    has_earlier_claim: bool = False
    counted_as_running: bool = False
    concluded: bool = False

    def has_open_attempt(self) -> bool:
        """Return whether the outcome of any attempt is still expected."""
        return any(not attempt.uncertain for attempt in self.attempts.values())
