"""Effects that state machines request from the daemon that runs them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin import verdict as verdicts
    from damaskpin.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another process; the message may be lost.

    :ivar to: instance id of the receiver.
    """

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start the tasks of one gang member on the local worker.

    :ivar accelerators: indexes of the accelerators, one task on each.
    :ivar lease_seconds: time without renewal of the lease after which the
        worker stops the tasks.
    :ivar labels: labels that the worker stores with the tasks, from which a
        restarted agent recognises them.
    """

    attempt: str
    accelerators: tuple[int, ...]
    command: tuple[str, ...]
    lease_seconds: float
    labels: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop the tasks of an attempt on the local worker.

    :ivar grace_seconds: time allowed for a checkpoint; 0 for no checkpoint.
    """

    attempt: str
    grace_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeTask:
    """Revoke the lease of tasks that did not stop on request."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """Send a request to the target that was announced to the agent.

    :ivar timeout: seconds that the target may take to answer.
    """

    attempt: str
    service: str
    body: bytes
    content_type: str
    timeout: float
    trace: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverVerdict:
    """Deliver the verdict on a request or job to the waiting caller.

    :ivar work: request id or job id.
    """

    work: str
    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class GrantJob:
    """Record the grant of an attempt in the store by compare-and-swap."""

    job: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Add an event to the explain history of a request or job.

    :ivar work: request id, job id or other subject of the event.
    """

    work: str
    event: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangStarted:
    """The lead of a gang decided that the gang starts."""

    job: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangFailed:
    """An attempt to start a gang failed and can never start.

    :ivar agents: agents that refused or did not answer.
    """

    job: str
    attempt: str
    reason: str
    agents: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GangEnded:
    """A started gang ended; none of its tasks runs any more.

    :ivar exit_code: largest exit code, or ``None`` if the gang was stopped.
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
    | DeliverVerdict
    | GrantJob
    | Record
    | GangStarted
    | GangFailed
    | GangEnded
)
