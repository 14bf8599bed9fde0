"""Attempts to start and stop runs on one worker."""

from __future__ import annotations

import dataclasses
import enum
import logging
from typing import TYPE_CHECKING

from damaskpin.agent import calls
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.model import work

LOG = logging.getLogger(__name__)

# Pause before an unanswered order is repeated, in seconds.
REPEAT_S = 0.15

# Pause before a stop is repeated while the run is still listed, in seconds.
STOP_REPEAT_S = 1.5

# A settled attempt is kept until the coordinator has certainly heard of it.
KEEP_SETTLED_S = 5.0


class State(enum.Enum):
    """State of an attempt."""

    PENDING = 'pending'
    CALLING = 'calling'
    ACCEPTED = 'accepted'
    STOPPING = 'stopping'
    VOIDED = 'voided'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """What became of one run here.

    :ivar order: order to start it; ``None`` if only a stop is known.
    :ivar reason: why it will not run; empty if it may.
    :ivar called: whether a start may have reached the worker.
    :ivar next_call: time of the next call in seconds.
    :ivar voided: time at which the worker acknowledged the stop.
    :ivar mentioned: time at which the coordinator ordered it last.
    """

    run: work.Run
    order: orders.StartOrder | None
    state: State
    reason: str = ''
    called: bool = False
    next_call: float = 0.0
    voided: float = 0.0
    mentioned: float = 0.0


class Attempts:
    """All attempts for one lifetime of a worker under one coordinator.

    A start without an answer is repeated. Before a start that may have been
    sent is given up, the run is stopped; the worker then refuses the start
    should it arrive later, and a list read since then proves that the run is
    not there.

    :ivar news: whether the coordinator should hear of a result at once.
    """

    __slots__ = ('_known', 'news')

    def __init__(self) -> None:
        self._known: dict[work.Run, Attempt] = {}
        self.news = False

    def clear(self) -> None:
        """Forget all attempts."""
        self._known.clear()

    def order_start(self, now: float, order: orders.StartOrder) -> None:
        """Take over an order to start a run; a known one is ignored."""
        attempt = self._known.get(order.run)
        if attempt is None:
            attempt = Attempt(order.run, order, State.PENDING)
            self._known[order.run] = attempt
        attempt.mentioned = now

    def order_stop(self, now: float, run: work.Run) -> None:
        """Take over an order to stop a run."""
        attempt = self._known.get(run)
        if attempt is None:
            attempt = Attempt(run, None, State.STOPPING, 'stopped')
            self._known[run] = attempt
        attempt.mentioned = now
        if attempt.state in (State.PENDING, State.CALLING, State.ACCEPTED):
            # A start that is under way may still arrive: the stop voids it.
            attempt.state = State.STOPPING
            attempt.reason = 'stopped'
            attempt.next_call = 0.0

    def withdraw(
        self, now: float, ordered: set[work.Run], listed: set[work.Run]
    ) -> None:
        """Give up starts that the coordinator orders no longer.

        It may have taken a silent worker's runs for gone and started them
        elsewhere.

        :param ordered: runs that the latest orders start.
        :param listed: runs that the worker lists.
        """
        for run, attempt in list(self._known.items()):
            if attempt.state is not State.PENDING or run in ordered:
                continue
            if run in listed:
                attempt.state = State.ACCEPTED
            elif attempt.called:
                self._give_up(now, attempt, 'no longer ordered')
            else:
                del self._known[run]

    def take_stops(
        self, now: float, lifetime: work.Lifetime, fence: int
    ) -> list[calls.StopCall]:
        """Return the stops to send now."""
        found = []
        for attempt in self._known.values():
            if attempt.state is not State.STOPPING or attempt.next_call > now:
                continue
            attempt.next_call = now + STOP_REPEAT_S
            found.append(calls.StopCall(lifetime, fence, attempt.run))
        return found

    def take_starts(
        self, now: float, lifetime: work.Lifetime, fence: int, until: int
    ) -> list[calls.StartCall]:
        """Return the starts to send now.

        :param until: end of the lease, in milliseconds of the worker's clock.
        """
        found = []
        for attempt in self._known.values():
            if attempt.state is not State.PENDING or attempt.order is None:
                continue
            if attempt.next_call > now:
                continue
            attempt.state = State.CALLING
            found.append(
                calls.StartCall(lifetime, fence, until, attempt.order)
            )
        return found

    def refuse_pending(self, now: float, reason: str) -> None:
        """Give up the starts that have no answer yet."""
        for attempt in self._known.values():
            if attempt.state is State.PENDING:
                self._give_up(now, attempt, reason)

    def refuse_all(
        self, now: float, running: list[work.Run], reason: str
    ) -> int:
        """Give up all runs, as none can exist any more.

        :param running: runs that were listed last.
        :returns: number of runs given up.
        """
        for run in running:
            if run not in self._known:
                self._known[run] = Attempt(run, None, State.ACCEPTED)
        count = 0
        for attempt in self._known.values():
            if attempt.state is State.REFUSED:
                continue
            attempt.state = State.REFUSED
            attempt.reason = reason
            attempt.mentioned = now
            count += 1
        if count:
            self.news = True
        return count

    def note_start(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Take over the answer to a start."""
        attempt = self._known.get(call.order.run)
        if attempt is None or attempt.state is not State.CALLING:
            return
        match result:
            case calls.Accepted():
                attempt.state = State.ACCEPTED
                self.news = True
            case calls.Refused(outranked=True):
                attempt.state = State.PENDING
                attempt.next_call = now + REPEAT_S
            case calls.Refused(reason=reason):
                self._give_up(now, attempt, reason)
            case _:
                attempt.state = State.PENDING
                attempt.called = True
                attempt.next_call = now + REPEAT_S
        log_start(call.order.run, result)

    def note_stop(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Take over the answer to a stop."""
        attempt = self._known.get(call.run)
        if attempt is None or attempt.state is not State.STOPPING:
            return
        match result:
            case calls.Accepted():
                attempt.state = State.VOIDED
                attempt.voided = now
                attempt.next_call = now + STOP_REPEAT_S
            case _:
                attempt.next_call = now + REPEAT_S

    def note_lists(self, now: float, sent: float, lists: calls.Lists) -> None:
        """Settle the stops that lists prove.

        :param sent: time at which the look was sent, in seconds.
        """
        running = {row.run for row in lists.running}
        known = running | {row.run for row in lists.ended}
        for attempt in self._known.values():
            if attempt.state is not State.VOIDED or attempt.voided > sent:
                continue
            if attempt.run not in known:
                attempt.state = State.REFUSED
                self.news = True
            elif attempt.run in running and attempt.next_call <= now:
                attempt.state = State.STOPPING

    def forget_settled(self, now: float, listed: set[work.Run]) -> None:
        """Forget what the coordinator has heard of.

        :param listed: runs that the worker lists.
        """
        for run, attempt in list(self._known.items()):
            if now - attempt.mentioned <= KEEP_SETTLED_S:
                continue
            settled = attempt.state in (State.REFUSED, State.ACCEPTED)
            if settled or run in listed:
                del self._known[run]

    def has_voided(self) -> bool:
        """Return whether a list would settle a stop."""
        for attempt in self._known.values():
            if attempt.state is State.VOIDED:
                return True
        return False

    def list_accepted(self) -> tuple[work.Run, ...]:
        """Return the runs whose start the worker has accepted."""
        return tuple(
            attempt.run
            for attempt in self._known.values()
            if attempt.state is State.ACCEPTED
        )

    def list_refused(self) -> tuple[orders.RefusedRun, ...]:
        """Return the runs that did not start and never will."""
        return tuple(
            orders.RefusedRun(attempt.run, attempt.reason)
            for attempt in self._known.values()
            if attempt.state is State.REFUSED
        )

    def _give_up(self, now: float, attempt: Attempt, reason: str) -> None:
        attempt.reason = reason
        if attempt.called or reason == 'old':
            attempt.state = State.STOPPING
            attempt.next_call = now
            return
        attempt.state = State.REFUSED
        self.news = True


def log_start(run: work.Run, result: calls.Result) -> None:
    """Log what a worker made of a start."""
    LOG.info(
        'start answered',
        extra={
            'job': run.item.job,
            'step': run.item.step,
            'index': run.item.index,
            'number': run.number,
            'result': type(result).__name__,
            'reason': getattr(result, 'reason', ''),
        },
    )
