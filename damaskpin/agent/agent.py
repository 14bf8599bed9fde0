"""Control of one worker: its lease, its runs and its ends."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from damaskpin.agent import attempts
from damaskpin.agent import calls
from damaskpin.agent import contact as contacts
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.model import work

LOG = logging.getLogger(__name__)

# A worker answers a look at its lists after this time at the latest, in
# seconds; it also bounds the age of the lease.
HOLD_WAIT_S = 0.5

# A lease that is about to end does not carry a start any more, in seconds.
MIN_LEASE_S = 0.5

# Orders without contact to the worker are not worth a report more often.
REPORT_INTERVAL_S = 0.5


class Agent:
    """Keeps one worker's lease and carries the coordinator's orders out.

    Times are seconds of a steady clock that counts while the process is
    suspended.

    :param instance: instance id of this agent.
    :param grant: seconds for which the lease is kept after the report that
        the coordinator answered last.
    :param lease: seconds for which one renewal keeps the worker's lease.
    :param stop_time: seconds that a worker takes to stop a run.
    """

    __slots__ = (
        '_attempts',
        '_contact',
        '_instance',
        '_left',
        '_lists',
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

    def __init__(
        self, instance: str, grant: float, lease: float, stop_time: float
    ) -> None:
        self._instance = instance
        self.profile: orders.WorkerProfile | None = None
        self._left: work.Lifetime | None = None
        self.fence = 0
        self.list_fence = 0
        self.coordinator = ''
        self.entries: tuple[str, ...] = ()
        self._order_sequence = 0
        self._sequence = 0
        self._observed = 0
        self._contact = contacts.Contact(grant, lease, stop_time)
        self._lists: calls.Lists | None = None
        self._attempts = attempts.Attempts()
        self.reported = 0.0
        self.urgent = False

    def begin(self, now: float) -> None:
        """Start; orders that echo an earlier report are not for this run."""
        self._contact.begin(now)

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
        self._contact.note_heartbeat(now, clock)

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
        self._contact.note_grant(message.echo)
        if self.profile is None or message.lifetime != self.profile.lifetime:
            return True
        self._observed = max(self._observed, message.observed)
        for order in message.starts:
            self._attempts.order_start(now, order)
        for run in message.stops:
            self._attempts.order_stop(now, run)
        listed = self._list_runs()
        ordered = {order.run for order in message.starts}
        self._attempts.withdraw(now, ordered, listed)
        self._attempts.forget_settled(now, listed)
        return True

    def take_calls(self, now: float) -> list[calls.StartCall | calls.StopCall]:
        """Return the orders to send to the worker now."""
        self._contact.watch(now)
        profile = self.profile
        if profile is None:
            return []
        if self._contact.has_lapsed(now):
            self._note_lapse(now)
            return []
        found: list[calls.StartCall | calls.StopCall] = []
        found.extend(
            self._attempts.take_stops(now, profile.lifetime, self.fence)
        )
        if profile.draining:
            self._attempts.refuse_pending(now, 'draining')
            return found
        until = self._contact.grant(now)
        if until is None or self._contact.get_left(now) < MIN_LEASE_S:
            return found
        found.extend(
            self._attempts.take_starts(
                now, profile.lifetime, self.fence, until
            )
        )
        return found

    def make_hold(self, now: float) -> calls.HoldCall | None:
        """Return the next look at the lists, or ``None`` without a worker."""
        if self.profile is None or not self.fence:
            return None
        wait = HOLD_WAIT_S
        if self._has_unobserved():
            # The worker answers at once as long as it lists these.
            wait = 0.0
        if self.list_fence != self.fence or self._attempts.has_voided():
            wait = 0.0
        return calls.HoldCall(
            self.profile.lifetime,
            self.fence,
            self._get_acknowledged(),
            self._contact.grant(now),
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
            case calls.Unanswered():
                self._contact.note_failure()

    def note_start(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Take over the answer to a start."""
        if call.fence == self.fence:
            self._attempts.note_start(now, call, result)

    def note_stop(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Take over the answer to a stop."""
        if call.fence == self.fence:
            self._attempts.note_stop(now, call, result)

    def is_report_due(self, now: float) -> bool:
        """Return whether the coordinator should hear of news."""
        news = self.urgent or self._attempts.news
        return news or now - self.reported >= REPORT_INTERVAL_S

    def make_report(self, now: float) -> orders.Report:
        """Return what the coordinator needs to know."""
        self._sequence += 1
        silence, lapse = self._contact.report_silence(now)
        self.reported = now
        self.urgent = False
        self._attempts.news = False
        running: tuple[work.RunningRun, ...] = ()
        ended: tuple[work.EndedRun, ...] = ()
        list_fence = 0
        if self._lists is not None and self.list_fence == self.fence:
            list_fence = self.list_fence
            running = self._lists.running
            ended = tuple(
                row for row in self._lists.ended if row.serial > self._observed
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
            self._attempts.list_accepted(),
            self._attempts.list_refused(),
            silence,
            lapse,
        )

    def _forget_worker(self) -> None:
        self.profile = None
        self._lists = None
        self.list_fence = 0
        self._observed = 0
        self._contact.forget()
        self._attempts.clear()

    def _list_runs(self) -> set[work.Run]:
        if self._lists is None:
            return set()
        listed = {row.run for row in self._lists.running}
        return listed | {row.run for row in self._lists.ended}

    def _note_lapse(self, now: float) -> None:
        """Give up all runs of a silent worker whose lease has ended."""
        running: tuple[work.RunningRun, ...] = ()
        if self._lists is not None:
            running = self._lists.running
            self._lists = msgspec.structs.replace(self._lists, running=())
        lost = self._attempts.refuse_all(
            now, [row.run for row in running], 'the lease has ended'
        )
        if lost:
            LOG.warning(
                'silent worker lost its lease',
                extra={
                    'worker': self.profile and self.profile.lifetime.worker,
                    'silent': round(self._contact.get_silence(now), 3),
                    'runs': lost,
                },
            )

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

    def _note_lists(
        self,
        now: float,
        sent: float,
        call: calls.HoldCall,
        lists: calls.Lists,
    ) -> None:
        if self._contact.get_silence(now):
            # The lease is renewed after the next orders only.
            self.urgent = True
        self._contact.note_answer(now, lists.clock)
        former = self._lists
        self._lists = lists
        if self.list_fence != call.fence:
            self.list_fence = call.fence
            self.urgent = True
        last = former.ended[-1].serial if former and former.ended else 0
        if lists.ended and lists.ended[-1].serial > last:
            self.urgent = True
        self._attempts.note_lists(now, sent, lists)
