"""Control of one worker: its lease, its runs and its ends."""

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

# A worker answers a look at its lists after this time at the latest, in
# seconds; it also bounds the age of the lease.
HOLD_WAIT_S = 0.5

# Pause before an unanswered order is repeated, in seconds.
REPEAT_S = 0.15

# Pause before a stop is repeated while the run is still listed, in seconds.
STOP_REPEAT_S = 1.5

# A lease that is about to end does not carry a start any more, in seconds.
MIN_LEASE_S = 0.5

# Orders without contact to the worker are not worth a report more often.
REPORT_INTERVAL_S = 0.5

# A refusal is reported until the coordinator has dropped the run.
KEEP_REFUSED_S = 5.0


class State(enum.Enum):
    """State of an attempt to start or stop a run."""

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
    """

    run: work.Run
    order: orders.StartOrder | None
    state: State
    reason: str = ''
    called: bool = False
    next_call: float = 0.0
    voided: float = 0.0
    mentioned: float = 0.0


class Agent:
    """Keeps one worker's lease and carries the coordinator's orders out.

    Times are seconds of a steady clock that counts while the process is
    suspended.

    :param instance: instance id of this agent.
    :param grant: seconds for which the lease is kept after the report that
        the coordinator answered last.
    :param lease: seconds for which one renewal keeps the worker's lease.
    """

    __slots__ = (
        '_attempts',
        '_clock',
        '_clock_read',
        '_deadline',
        '_grant',
        '_instance',
        '_lease',
        '_left',
        '_lists',
        '_lists_sent',
        '_observed',
        '_order_sequence',
        '_sequence',
        'coordinator',
        'entries',
        'fence',
        'list_fence',
        'profile',
        'reported',
        'urgent',
    )

    def __init__(self, instance: str, grant: float, lease: float) -> None:
        self._lease = lease
        self._instance = instance
        self._grant = grant
        self.profile: orders.WorkerProfile | None = None
        self._left: work.Lifetime | None = None
        self.fence = 0
        self.list_fence = 0
        self.coordinator = ''
        self.entries: tuple[str, ...] = ()
        self._order_sequence = 0
        self._sequence = 0
        self._deadline = 0.0
        self._observed = 0
        self._clock: int | None = None
        self._clock_read = 0.0
        self._lists: calls.Lists | None = None
        self._lists_sent = 0.0
        self._attempts: dict[work.Run, Attempt] = {}
        self.reported = 0.0
        self.urgent = False

    def handle_heartbeat(
        self, now: float, profile: orders.WorkerProfile, clock: int | None
    ) -> None:
        """Take over what the worker says of itself."""
        known = self.profile
        if known is not None and known.lifetime != profile.lifetime:
            if profile.lifetime.born < known.lifetime.born:
                LOG.info('late heartbeat of a former worker ignored')
                return
            self._forget_worker()
        if known is None or known.lifetime != profile.lifetime:
            LOG.info('worker found', extra={'worker': profile.lifetime.worker})
            self.urgent = True
        elif known.draining != profile.draining:
            LOG.info(
                'worker state changed',
                extra={
                    'worker': profile.lifetime.worker,
                    'draining': profile.draining,
                    'remaining': profile.remaining,
                },
            )
            self.urgent = True
        if self._left == profile.lifetime:
            return
        self.profile = profile
        if clock is not None and self._clock is None:
            self._clock = clock
            self._clock_read = now

    def handle_leave(self, worker: str) -> None:
        """Record that the worker has announced its end."""
        if self.profile is None or self.profile.lifetime.worker != worker:
            return
        LOG.info('worker left', extra={'worker': worker})
        self._left = self.profile.lifetime
        self._forget_worker()
        self.urgent = True

    def handle_orders(self, now: float, message: orders.Orders) -> bool:
        """Take over the coordinator's orders.

        :returns: whether they were current.
        """
        if message.fence < self.fence:
            return False
        if message.fence > self.fence:
            LOG.info(
                'coordinator changed',
                extra={'fence': message.fence, 'former': self.fence},
            )
            # What the former coordinator ordered and the worker has not
            # listed is decided anew by this one.
            self._attempts.clear()
            self.fence = message.fence
            self._order_sequence = 0
        if message.sequence <= self._order_sequence:
            return True
        self._order_sequence = message.sequence
        self.entries = message.entries
        self._deadline = max(self._deadline, message.echo + self._grant)
        if self.profile is None or message.lifetime != self.profile.lifetime:
            return True
        self._observed = max(self._observed, message.observed)
        for order in message.starts:
            attempt = self._attempts.get(order.run)
            if attempt is None:
                attempt = Attempt(order.run, order, State.PENDING)
                self._attempts[order.run] = attempt
            attempt.mentioned = now
        for run in message.stops:
            self._stop(now, run)
        self._forget_attempts(now)
        return True

    def take_calls(self, now: float) -> list[calls.StartCall | calls.StopCall]:
        """Return the orders to send to the worker now."""
        if self.profile is None:
            return []
        found: list[calls.StartCall | calls.StopCall] = []
        for attempt in list(self._attempts.values()):
            if attempt.next_call > now:
                continue
            match attempt.state:
                case State.PENDING:
                    call = self._make_start(now, attempt)
                    if call is not None:
                        found.append(call)
                case State.STOPPING:
                    attempt.next_call = now + STOP_REPEAT_S
                    found.append(
                        calls.StopCall(
                            self.profile.lifetime, self.fence, attempt.run
                        )
                    )
        return found

    def get_next_call(self) -> float | None:
        """Return the time at which :meth:`take_calls` may return more."""
        times = [
            attempt.next_call
            for attempt in self._attempts.values()
            if attempt.state in (State.PENDING, State.STOPPING)
        ]
        return min(times, default=None)

    def make_hold(self, now: float) -> calls.HoldCall | None:
        """Return the next look at the lists, or ``None`` without a worker."""
        if self.profile is None or not self.fence:
            return None
        wait = HOLD_WAIT_S
        if self._has_unobserved():
            # The worker answers at once as long as it lists these.
            wait = 0.0
        if self.list_fence != self.fence or self._has_voided():
            wait = 0.0
        return calls.HoldCall(
            self.profile.lifetime,
            self.fence,
            self._get_acknowledged(),
            self._get_until(now),
            wait,
        )

    def note_held(
        self,
        now: float,
        sent: float,
        call: calls.HoldCall,
        result: calls.Result,
    ) -> None:
        """Take over the answer to a look at the lists.

        :param sent: time at which the call was sent, in seconds.
        """
        if self.profile is None or call.lifetime != self.profile.lifetime:
            return
        match result:
            case calls.Lists(born=born) if born not in (0, call.lifetime.born):
                # It was restarted under its id; its heartbeat follows.
                LOG.info('worker restarted', extra={'born': born})
                self._forget_worker()
            case calls.Lists():
                self._note_lists(now, sent, call, result)
            case calls.Refused(outranked=True):
                LOG.warning('worker knows a higher fencing token')
                self.urgent = True

    def note_start(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Take over the answer to a start."""
        attempt = self._attempts.get(call.order.run)
        if attempt is None or call.fence != self.fence:
            return
        if attempt.state is not State.CALLING:
            return
        match result:
            case calls.Accepted():
                attempt.state = State.ACCEPTED
                self.urgent = True
            case calls.Refused(outranked=True):
                attempt.state = State.PENDING
                attempt.next_call = now + REPEAT_S
            case calls.Refused(reason=reason):
                self._give_up(now, attempt, reason)
            case _:
                attempt.state = State.PENDING
                attempt.called = True
                attempt.next_call = now + REPEAT_S
        LOG.info(
            'start answered',
            extra={
                'job': call.order.run.item.job,
                'step': call.order.run.item.step,
                'index': call.order.run.item.index,
                'number': call.order.run.number,
                'result': type(result).__name__,
                'reason': getattr(result, 'reason', ''),
            },
        )

    def note_stop(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Take over the answer to a stop."""
        attempt = self._attempts.get(call.run)
        if attempt is None or call.fence != self.fence:
            return
        if attempt.state is not State.STOPPING:
            return
        match result:
            case calls.Accepted():
                attempt.state = State.VOIDED
                attempt.voided = now
                attempt.next_call = now + STOP_REPEAT_S
            case _:
                attempt.next_call = now + REPEAT_S

    def is_report_due(self, now: float) -> bool:
        """Return whether the coordinator should hear of news."""
        return self.urgent or now - self.reported >= REPORT_INTERVAL_S

    def make_report(self, now: float) -> orders.Report:
        """Return what the coordinator needs to know."""
        self._sequence += 1
        self.reported = now
        self.urgent = False
        running: tuple[work.RunningRun, ...] = ()
        ended: tuple[work.EndedRun, ...] = ()
        list_fence = 0
        if self._lists is not None and self.list_fence == self.fence:
            list_fence = self.list_fence
            running = self._lists.running
            ended = tuple(
                row for row in self._lists.ended if row.serial > self._observed
            )
        accepted = []
        refused = []
        for attempt in self._attempts.values():
            match attempt.state:
                case State.ACCEPTED:
                    accepted.append(attempt.run)
                case State.REFUSED:
                    refused.append(
                        orders.RefusedRun(attempt.run, attempt.reason)
                    )
        return orders.Report(
            self._instance,
            now,
            self._sequence,
            self.profile,
            self._left,
            self.fence,
            list_fence,
            running,
            ended,
            tuple(accepted),
            tuple(refused),
        )

    def _forget_worker(self) -> None:
        self.profile = None
        self._lists = None
        self.list_fence = 0
        self._observed = 0
        self._clock = None
        self._attempts.clear()

    def _forget_attempts(self, now: float) -> None:
        listed = set()
        if self._lists is not None:
            listed = {row.run for row in self._lists.running}
            listed |= {row.run for row in self._lists.ended}
        for run, attempt in list(self._attempts.items()):
            if now - attempt.mentioned <= KEEP_REFUSED_S:
                continue
            settled = attempt.state in (State.REFUSED, State.ACCEPTED)
            if settled or run in listed:
                del self._attempts[run]

    def _stop(self, now: float, run: work.Run) -> None:
        attempt = self._attempts.get(run)
        if attempt is None:
            attempt = Attempt(run, None, State.STOPPING, 'stopped')
            self._attempts[run] = attempt
        attempt.mentioned = now
        if attempt.state in (State.PENDING, State.CALLING, State.ACCEPTED):
            # A start that is under way may still arrive: the stop voids it.
            attempt.state = State.STOPPING
            attempt.reason = 'stopped'
            attempt.next_call = 0.0

    def _give_up(self, now: float, attempt: Attempt, reason: str) -> None:
        """Refuse a run for good.

        A start that had no answer may still be carried out, so it is voided
        first.
        """
        attempt.reason = reason
        if attempt.called or reason == 'old':
            attempt.state = State.STOPPING
            attempt.next_call = now
            return
        attempt.state = State.REFUSED
        self.urgent = True

    def _make_start(
        self, now: float, attempt: Attempt
    ) -> calls.StartCall | None:
        if self.profile is None or attempt.order is None:
            return None
        if self.profile.draining:
            self._give_up(now, attempt, 'draining')
            return None
        until = self._get_until(now)
        if until is None or self._deadline - now < MIN_LEASE_S:
            attempt.next_call = now + REPEAT_S
            return None
        attempt.state = State.CALLING
        return calls.StartCall(
            self.profile.lifetime, self.fence, until, attempt.order
        )

    def _get_until(self, now: float) -> int | None:
        """Return the end of the grant on the worker's clock."""
        if self._clock is None or self._deadline <= now:
            return None
        ends = min(self._deadline, now + self._lease)
        return self._clock + int((ends - self._clock_read) * 1000)

    def _get_acknowledged(self) -> int:
        """Return the serial up to which listed ends may be forgotten.

        Nothing is acknowledged that is not listed: a worker that was just
        restarted under its id would forget ends of its new lifetime.
        """
        if self._lists is None or not self._lists.ended:
            return 0
        return min(self._observed, self._lists.ended[-1].serial)

    def _has_unobserved(self) -> bool:
        if self._lists is None or not self._lists.ended:
            return False
        return self._lists.ended[-1].serial > self._observed

    def _has_voided(self) -> bool:
        for attempt in self._attempts.values():
            if attempt.state is State.VOIDED:
                return True
        return False

    def _note_lists(
        self,
        now: float,
        sent: float,
        call: calls.HoldCall,
        lists: calls.Lists,
    ) -> None:
        self._clock = lists.clock
        self._clock_read = now
        former = self._lists
        self._lists = lists
        self._lists_sent = sent
        if self.list_fence != call.fence:
            self.list_fence = call.fence
            self.urgent = True
        last = former.ended[-1].serial if former and former.ended else 0
        if lists.ended and lists.ended[-1].serial > last:
            self.urgent = True
        running = {row.run for row in lists.running}
        known = running | {row.run for row in lists.ended}
        for attempt in self._attempts.values():
            if attempt.state is not State.VOIDED or attempt.voided > sent:
                continue
            if attempt.run not in known:
                attempt.state = State.REFUSED
                self.urgent = True
            elif attempt.run in running and attempt.next_call <= now:
                attempt.state = State.STOPPING
