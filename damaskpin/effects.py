"""Effects that state machines ask their daemon to carry out."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin import verdict as verdicts
    from damaskpin.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another process; it may be lost.

    :ivar to: instance id of the receiver.
    """

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start the tasks of one gang member on the local worker.

    :ivar accelerators: indexes of the accelerators, one task on each.
    :ivar lease_seconds: time without renewal after which the worker stops
        the tasks.
    :ivar labels: kept by the worker for an agent that adopts the tasks.
    """

    attempt: str
    accelerators: tuple[int, ...]
    command: tuple[str, ...]
    lease_seconds: float
    labels: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop the tasks of an attempt on the local worker.

    :ivar grace_seconds: time for a checkpoint; 0 stops without one.
    """

    attempt: str
    grace_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeTask:
    """Revoke the lease of tasks that did not stop when they were asked."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """Hand a request to the announced target beside the agent.

    :ivar timeout: seconds that the target may take.
    """

    attempt: str
    service: str
    body: bytes
    content_type: str
    timeout: float
    trace: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conclude:
    """Tell the waiting caller what happened.

    :ivar work: request id or job id.
    """

    work: str
    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class GrantJob:
    """Record the grant of an attempt in the store, by compare-and-swap."""

    job: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Add a line to the explain history of a request or job."""

    work: str
    event: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangStarted:
    """The lead of a gang decided that it starts."""

    job: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangFailed:
    """The gang did not start, and this attempt never will.

    :ivar agents: agents that refused or did not answer.
    """

    job: str
    attempt: str
    reason: str
    agents: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GangEnded:
    """A started gang ended, and nothing of it runs any more.

    :ivar exit_code: largest exit code, or ``None`` when it was stopped.
    """

    job: str
    attempt: str
    exit_code: int | None
    reason: str


Effect = (
    Send
    | StartTask
    | StopTask
    | RevokeTask
    | CallTarget
    | Conclude
    | GrantJob
    | Record
    | GangStarted
    | GangFailed
    | GangEnded
)
