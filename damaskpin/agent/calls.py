"""Calls to a worker and what became of them."""

from __future__ import annotations

import msgspec

from damaskpin.model import work
from damaskpin.peer import orders


class HoldCall(msgspec.Struct, frozen=True):
    """Renew the worker's lease and read its lists.

    :ivar until: milliseconds on the worker's clock up to which everything
        on it may run; ``None`` leaves the lease as it is.
    :ivar wait: seconds that the worker may wait for an end.
    """

    lifetime: work.Lifetime
    fence: int
    observed: int
    until: int | None
    wait: float


class StartCall(msgspec.Struct, frozen=True):
    """Start a run."""

    lifetime: work.Lifetime
    fence: int
    until: int
    order: orders.StartOrder


class StopCall(msgspec.Struct, frozen=True):
    """Stop a run, and refuse its start should it arrive later."""

    lifetime: work.Lifetime
    fence: int
    run: work.Run


class Lists(msgspec.Struct, frozen=True):
    """What a worker lists.

    :ivar clock: milliseconds on the worker's clock.
    """

    clock: int
    born: int
    running: tuple[work.RunningRun, ...]
    ended: tuple[work.EndedRun, ...]


class Accepted(msgspec.Struct, frozen=True):
    """The worker carried the call out."""

    clock: int


class Refused(msgspec.Struct, frozen=True):
    """The worker did nothing.

    :ivar outranked: whether it has seen a higher fencing token.
    """

    reason: str
    outranked: bool = False


class Unanswered(msgspec.Struct, frozen=True):
    """No answer arrived; the call may be carried out, also later."""

    reason: str


Result = Lists | Accepted | Refused | Unanswered
