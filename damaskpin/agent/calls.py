"""Calls that an agent makes to its worker, and their results.

Each call contains the lifetime (identity) of the worker process that it is
meant for, and the fencing token of the coordinator that ordered it. A fencing
token is a number that is higher for each new coordinator; a worker refuses
calls with a lower token than the highest that it has seen. The token that a
call carries is made of the coordinator's and of a number of the agent's own;
see :mod:`damaskpin.agent.fencing`.
"""

from __future__ import annotations

import msgspec

from damaskpin.model import work
from damaskpin.peer import orders

# Time in seconds after which a call without an answer is not carried out any
# more.
MAX_CALL_DELAY_S = 15.0

# Reason of a call that reached a worker with another id.
OTHER_LIFETIME = 'another lifetime'


class PollCall(msgspec.Struct, frozen=True):
    """Request to renew the worker's lease and to list its runs.

    The worker may delay the answer until a run ends (long polling).

    :ivar lifetime: worker process that the call is meant for.
    :ivar fence: fencing token of the coordinator.
    :ivar observed: serial (sequence number of an ended run in the worker
        process) up to which the worker may forget ended runs.
    :ivar until: expiry of the lease in milliseconds on the worker's clock;
        ``None`` leaves the lease unchanged.
    :ivar wait: seconds that the worker may wait for a run to end.
    :ivar token: fencing token that the call carries.
    """

    lifetime: work.Lifetime
    fence: int
    observed: int
    until: int | None
    wait: float
    token: int


class StartCall(msgspec.Struct, frozen=True):
    """Request to start a run.

    :ivar lifetime: worker process that the call is meant for.
    :ivar fence: fencing token of the coordinator.
    :ivar until: expiry of the lease in milliseconds on the worker's clock.
    :ivar token: fencing token that the call carries.
    """

    lifetime: work.Lifetime
    fence: int
    until: int
    order: orders.StartOrder
    token: int


class StopCall(msgspec.Struct, frozen=True):
    """Request to stop a run and to refuse start calls for it from then on.

    :ivar lifetime: worker process that the call is meant for.
    :ivar fence: fencing token of the coordinator.
    :ivar token: fencing token that the call carries.
    """

    lifetime: work.Lifetime
    fence: int
    run: work.Run
    token: int


class Lists(msgspec.Struct, frozen=True):
    """Running and ended runs as listed by a worker.

    :ivar clock: milliseconds on the worker's clock.
    :ivar born: start of the worker process in Unix milliseconds; 0 if the
        worker did not tell it.
    :ivar ended: ended runs, those with the lowest serials first.
    :ivar complete: whether all unacknowledged ends are listed. A run that is
        absent from incomplete lists is not running, but it may have ended.
    """

    clock: int
    born: int
    running: tuple[work.RunningRun, ...]
    ended: tuple[work.EndedRun, ...]
    complete: bool = True


class Accepted(msgspec.Struct, frozen=True):
    """Result of a call that the worker carried out.

    :ivar clock: milliseconds on the worker's clock.
    """

    clock: int


class Refused(msgspec.Struct, frozen=True):
    """Result of a call that the worker refused without any effect.

    :ivar outranked: whether the worker has seen a higher fencing token.
    """

    reason: str
    outranked: bool = False


class Unanswered(msgspec.Struct, frozen=True):
    """Result of a call without an answer.

    The worker may have carried the call out or may still do so.

    :ivar sent: whether the call may have reached the worker.
    :ivar refused: whether a connection to the worker was refused, so that no
        process listens at its address.
    :ivar replied: whether an answer arrived, which tells no result.
    """

    reason: str
    sent: bool = True
    refused: bool = False
    replied: bool = False


class OtherProcess(msgspec.Struct, frozen=True):
    """Result of a call that was not sent, as another process answers.

    :ivar lifetime: process at the worker's address, of the same id.
    :ivar running: number of runs that it lists.
    """

    lifetime: work.Lifetime
    running: int


class Withheld(msgspec.Struct, frozen=True):
    """Result of a call that was not sent, as no process is identified.

    The sender logs the reason, at most once a second.
    """

    reason: str


Call = PollCall | StartCall | StopCall
Result = Lists | Accepted | Refused | Unanswered | OtherProcess | Withheld
