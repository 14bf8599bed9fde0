"""Control of one worker: lease renewal, run orders and reports."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from damaskpin.agent import acknowledgements
from damaskpin.agent import attempts
from damaskpin.agent import calls
from damaskpin.agent import crash_log
from damaskpin.agent import departure as departures
from damaskpin.agent import events
from damaskpin.agent import fencing
from damaskpin.agent import lease_tracker as lease_trackers
from damaskpin.agent import run_lists
from damaskpin.agent import successor
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.model import work

LOG = logging.getLogger(__name__)

# Longest time in seconds that a worker may delay the answer to a poll of its
# runs. Each poll renews the lease, so this also bounds the renewal interval.
POLL_WAIT_S = 0.5

# Seconds of lease that must remain for a start call to be sent.
MIN_START_LEASE_S = 0.5

# Seconds after which a report to the coordinator is due even if there is no
# urgent change. While the agent can't reach its worker, the arrival of orders
# does not cause more reports.
REPORT_INTERVAL_S = 0.5


class Agent:
    """Renews a worker's lease and passes the coordinator's orders to it.

    Times are seconds on a steady clock that also advances while the process
    is suspended. A fencing token is a number that is higher for each new
    coordinator; orders with a lower token than the highest known are refused.

    :param instance: instance id of this agent.
    :param grant: seconds for which the agent may keep renewing the lease,
        counted from the latest report that the coordinator answered.
    :param lease: maximum duration in seconds of one lease renewal.
    :param stop_time: seconds that a worker needs to stop a run.
    :param longest_lease: longest lease in seconds that a worker allows.
    :ivar profile: profile in the worker's latest heartbeat; ``None`` without a
        known worker.
    :ivar fence: fencing token of the coordinator; 0 before its first orders.
    :ivar coordinator: address of the coordinator; empty until it is known.
    :ivar entries: addresses of all entries.
    :ivar process: random id under which this process reports.
    :ivar last_report_time: time of the last report to the coordinator.
    :ivar report_requested: whether a report is due at once.
    """

    __slots__ = (
        '_acknowledgements',
        '_attempts',
        '_candidate',
        '_crash_log',
        '_departure',
        '_instance',
        '_lease_tracker',
        '_order_sequence',
        '_report_sequence',
        '_run_lists',
        '_token',
        'coordinator',
        'entries',
        'fence',
        'last_report_time',
        'process',
        'profile',
        'report_requested',
    )

    def __init__(
        self,
        instance: str,
        grant: float,
        lease: float,
        stop_time: float,
        longest_lease: float = 0.0,
    ) -> None:
        self._instance = instance
        self.process = make_process_id()
        self.profile: orders.WorkerProfile | None = None
        self._departure = departures.Departure()
        self._candidate: successor.Candidate | None = None
        self.fence = 0
        self._token = fencing.CallToken()
        self.coordinator = ''
        self.entries: tuple[str, ...] = ()
        self._order_sequence = 0
        self._report_sequence = 0
        self._lease_tracker = lease_trackers.LeaseTracker(
            grant, lease, stop_time, longest_lease
        )
        self._run_lists = run_lists.RunLists()
        self._attempts = attempts.Attempts()
        self._acknowledgements = acknowledgements.Acknowledgements()
        self._crash_log = crash_log.CrashLog()
        self.last_report_time = 0.0
        self.report_requested = False

    def start(self, now: float) -> None:
        """Start the agent; ignore orders that answer earlier reports."""
        self._lease_tracker.ignore_earlier_grants(now)
        self._acknowledgements.start(now)

    def handle_heartbeat(
        self, now: float, profile: orders.WorkerProfile, clock: int | None
    ) -> None:
        """Record the profile and clock that the worker's heartbeat carries.

        :param clock: milliseconds on the worker's clock.
        """
        if self._departure.has_ended(profile.lifetime):
            LOG.info('heartbeat of an ended worker process ignored')
            return
        if self._departure.is_leaving(profile):
            # A heartbeat that was overtaken by the notice of leaving may say
            # that the worker does not drain.
            return
        previous = self.profile
        if previous is not None and previous.lifetime != profile.lifetime:
            if profile.lifetime.born < previous.lifetime.born:
                events.log_delayed_heartbeat(
                    profile.lifetime, previous.lifetime
                )
                return
            self._candidate = successor.Candidate(now, profile, clock)
            if not self.fence or self._lease_tracker.is_lease_expired(now):
                # No poll is sent yet, or the known process has no runs left.
                self._replace_process(now)
            return
        if previous is None:
            events.log_worker(profile.lifetime)
            self._acknowledgements.record_process(now, profile.lifetime)
            self.report_requested = True
        elif previous.draining != profile.draining:
            events.log_worker_state(profile)
            self.report_requested = True
        self.profile = profile
        self._lease_tracker.record_heartbeat(now, clock)

    def handle_leave(self, now: float, worker: str) -> None:
        """Record that the worker has announced its end."""
        if self.profile is None or self.profile.lifetime.worker != worker:
            return
        self._departure.record_notice(now, self.profile)

    def is_worker_leaving(self) -> bool:
        """Return whether the worker has given notice and may still run."""
        return self._departure.is_leaving(self.profile)

    def handle_orders(self, now: float, message: orders.Orders) -> bool:
        """Apply orders of the coordinator unless they are outdated.

        :returns: ``False`` if the orders come from a previous coordinator,
            which has a lower fencing token.
        """
        if message.fence < self.fence:
            return False
        if message.process not in ('', self.process):
            # The orders answer a report of a former process. Their starts may
            # be known there as refused, and their grant counts from its clock.
            LOG.info('orders for a former process of the agent ignored')
            return True
        if message.fence > self.fence:
            LOG.info(
                'coordinator changed',
                extra={'fence': message.fence, 'former': self.fence},
            )
            # Discard orders of the previous coordinator: the new coordinator
            # decides again on each run that the worker does not list.
            self._attempts.clear()
            self.fence = message.fence
            self._order_sequence = 0
        if message.sequence <= self._order_sequence:
            return True
        self._order_sequence = message.sequence
        self._token.set_session(message.fence, message.session)
        self.entries = message.entries
        self._lease_tracker.record_grant(now, message.echo)
        if self.profile is None or message.lifetime != self.profile.lifetime:
            return True
        if message.restarted:
            self._acknowledgements.record_restart()
        self._run_lists.recorded_serial = max(
            self._run_lists.recorded_serial, message.observed
        )
        for order in message.starts:
            self._attempts.order_start(now, order)
        for run in message.stops:
            self._attempts.order_stop(now, run)
        listed = self._run_lists.list_runs()
        ordered = {order.run for order in message.starts}
        self._attempts.withdraw_starts(now, ordered, listed)
        self._attempts.forget_settled(now, listed)
        return True

    def handle_superseded(self, process: str) -> None:
        """Report under a new id from now on, unless it is done already.

        The coordinator has received an old report of a former process later
        than one of this process, and takes this process for the former one.

        :param process: id that the coordinator does not accept.
        """
        if process == self.process:
            self._begin_session('the coordinator knows a later process')

    def collect_due_calls(
        self, now: float
    ) -> list[calls.StartCall | calls.StopCall]:
        """Return the start and stop calls that are due at the worker."""
        self._lease_tracker.advance_elapsed_time(now)
        profile = self.profile
        if profile is None:
            return []
        if self._lease_tracker.is_lease_expired(now):
            if self.is_worker_leaving():
                if self._attempts.get_undecided_time(now) <= 0:
                    self._end_departure(now, departures.Proof.LEASE_ENDED)
                return []
            self._refuse_runs_of_expired_lease(now)
            if self._candidate is not None:
                self._replace_process(now)
            return []
        due_calls: list[calls.StartCall | calls.StopCall] = []
        due_calls.extend(
            self._attempts.collect_due_stops(
                now, profile.lifetime, self._token
            )
        )
        has_lists = self._run_lists.is_complete(self.fence)
        if profile.draining:
            self._attempts.refuse_pending(now, 'draining', has_lists)
            return due_calls
        until = self._lease_tracker.extend_lease(now)
        if (
            until is None
            or self._lease_tracker.get_certain_lease(now) < MIN_START_LEASE_S
        ):
            return due_calls
        due_calls.extend(
            self._attempts.collect_due_starts(
                now, profile.lifetime, self._token, until, has_lists
            )
        )
        return due_calls

    def make_poll(self, now: float) -> calls.PollCall | None:
        """Return the next call that renews the lease and lists the runs.

        :returns: ``None`` without a known worker or coordinator.
        """
        if self.profile is None or not self.fence:
            return None
        acknowledged = 0
        if not self._lease_tracker.has_failed_poll():
            acknowledged = self._acknowledgements.get_serial(
                now,
                self._lease_tracker.get_last_answer_time(),
                self._run_lists,
            )
        until = None
        if not self.is_worker_leaving():
            # The lease of a worker that leaves is left to expire, in case that
            # nothing else proves its end.
            until = self._lease_tracker.extend_lease(now)
        return calls.PollCall(
            self.profile.lifetime,
            self.fence,
            acknowledged,
            until,
            self._choose_poll_wait(now),
            self._token.value,
        )

    def handle_poll_result(
        self,
        now: float,
        sent: float,
        call: calls.PollCall,
        result: calls.Result,
    ) -> None:
        """Handle the result of a call that lists the worker's runs.

        :param sent: time in seconds at which the call was sent.
        """
        if self.profile is None or call.lifetime != self.profile.lifetime:
            self._handle_former_poll(now, call, result)
            return
        match result:
            case calls.Lists(born=born) if born not in (0, call.lifetime.born):
                # The worker was restarted with the same id; a heartbeat
                # of the new process follows.
                events.log_worker_restart(
                    call.lifetime, born, len(result.running)
                )
                self._acknowledgements.record_undecided(now, call)
                self._end_lifetime(now, keeps_id=True)
            case calls.Lists(born=born):
                self._record_lists(now, sent, call, result)
                self._judge_candidate(now, sent, born)
            case calls.OtherProcess():
                self._handle_other_process(now, call, result)
            case calls.Withheld():
                self._lease_tracker.record_failure()
            case calls.Refused(reason=calls.OTHER_LIFETIME):
                LOG.info(
                    'another worker answers; waiting for its heartbeat',
                    extra={'worker': call.lifetime.worker},
                )
                self._end_lifetime(now, keeps_id=False)
            case calls.Refused(outranked=True):
                self._handle_outranked_poll(call)
            case calls.Unanswered():
                self._lease_tracker.record_failure()
                self._outrank(now, call, result)
                if result.refused and self.is_worker_leaving():
                    self._handle_refused_connection(now)
                elif result.refused and self._candidate is not None:
                    self._replace_process(now)

    def handle_start_result(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Handle the result of a start call."""
        self._outrank(now, call, result)
        if isinstance(result, calls.OtherProcess):
            self._handle_other_process(now, call, result)
            return
        if call.fence != self.fence:
            return
        self._attempts.handle_start_result(now, call, result)
        if self._acknowledgements.may_hide_ends:
            self._attempts.order_stop(now, call.order.run)

    def handle_stop_result(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Handle the result of a stop call."""
        self._outrank(now, call, result)
        if isinstance(result, calls.OtherProcess):
            self._handle_other_process(now, call, result)
            return
        if call.fence == self.fence:
            self._attempts.handle_stop_result(now, call, result)

    def is_report_due(self, now: float) -> bool:
        """Return whether a report to the coordinator is due."""
        is_urgent = self.report_requested or self._attempts.report_needed
        return is_urgent or now - self.last_report_time >= REPORT_INTERVAL_S

    def make_report(self, now: float) -> orders.Report:
        """Return a report on the worker for the coordinator."""
        self._report_sequence += 1
        silence, lapse = self._lease_tracker.report_silence(now)
        if silence:
            lapse = max(lapse, self._attempts.get_undecided_time(now))
        self.last_report_time = now
        self.report_requested = False
        self._attempts.report_needed = False
        running: tuple[work.RunningRun, ...] = ()
        ended: tuple[work.EndedRun, ...] = ()
        lists_fence = 0
        lists_complete = True
        lists = self._run_lists
        if lists.latest is not None and lists.fence == self.fence:
            lists_fence = lists.fence
            running = lists.latest.running
            ended = lists.list_unrecorded_ends()
            lists_complete = lists.latest.complete
        return orders.Report(
            self._instance,
            now,
            self._report_sequence,
            self.profile,
            self._departure.left,
            self.fence,
            lists_fence,
            running,
            ended,
            self._attempts.list_accepted(),
            self._attempts.list_refused(),
            silence,
            lapse,
            self._crash_log.list_reported(now),
            self.process,
            lists_complete,
        )

    def _choose_poll_wait(self, now: float) -> float:
        """Return the seconds for which a poll may wait for a run to end."""
        if (
            # The worker answers at once while it lists ended runs.
            self._run_lists.count_ends()
            or not self._run_lists.is_complete(self.fence)
            or self._attempts.has_unconfirmed_stop()
            # After a standstill a full lease needs a new clock reading.
            or self._lease_tracker.is_reading_old(now)
            # The poll looks for the end of the process.
            or self.is_worker_leaving()
            or self._candidate is not None
        ):
            return 0.0
        return POLL_WAIT_S

    def _begin_session(self, reason: str) -> None:
        """Report under a new id, for which the coordinator has a new number.

        :param reason: why the former id can't be used any more.
        """
        former = self.process
        self.process = make_process_id()
        self.report_requested = True
        events.log_new_process_id(reason, self.process, former)

    def _end_lifetime(self, now: float, keeps_id: bool) -> None:
        """Discard the state of a process that another has replaced.

        The answer of the other one proves the end. Heartbeats of the ended
        process that arrive later are ignored. The other one is registered if
        it has sent a heartbeat.

        :param keeps_id: whether the other one has the same id.
        """
        if self.profile is not None:
            self._departure.replaced = self.profile.lifetime
        self._record_crash(now)
        self._departure.record_end(now, departures.Proof.REPLACED, keeps_id)
        self._discard_worker_state()
        self._register_candidate(now)

    def _handle_former_poll(
        self, now: float, call: calls.PollCall, result: calls.Result
    ) -> None:
        """Handle the result of a poll that was meant for a former process."""
        match result:
            case calls.Lists(born=born) if born not in (0, call.lifetime.born):
                # Another process has carried it out.
                self._acknowledgements.record_undecided(now, call)
        self._outrank(now, call, result)

    def _handle_other_process(
        self, now: float, call: calls.Call, result: calls.OtherProcess
    ) -> None:
        """End the known process, as another one answers at its address."""
        if self.profile is None or call.lifetime != self.profile.lifetime:
            return
        events.log_worker_restart(
            call.lifetime, result.lifetime.born, result.running
        )
        self._end_lifetime(now, keeps_id=True)

    def _judge_candidate(self, now: float, sent: float, born: int) -> None:
        """Drop the candidate, or register it, as the known process answers.

        :param sent: time in seconds of the call that was answered.
        :param born: birth of the process in the answer; 0 if it is not told.
        """
        candidate = self._candidate
        if candidate is None or self.profile is None:
            return
        known = self.profile.lifetime
        keeps_id = candidate.profile.lifetime.worker == known.worker
        if keeps_id and not born:
            # Either of the two may have answered.
            self._replace_process(now)
        elif sent >= candidate.received_at:
            events.log_delayed_heartbeat(candidate.profile.lifetime, known)
            self._candidate = None

    def _replace_process(self, now: float) -> None:
        """Take the candidate for the worker's process from now on."""
        if self.profile is None or self._candidate is None:
            return
        new_worker = self._candidate.profile.lifetime.worker
        keeps_id = self.profile.lifetime.worker == new_worker
        self._end_lifetime(now, keeps_id)

    def _register_candidate(self, now: float) -> None:
        """Register the process that has sent a heartbeat meanwhile, if any."""
        candidate = self._candidate
        self._candidate = None
        if candidate is not None:
            self.handle_heartbeat(now, candidate.profile, candidate.clock)

    def _handle_refused_connection(self, now: float) -> None:
        """Report the end of a process that has given notice.

        Ends of runs that it has listed are reported first, as they would be
        lost with its lists; if the coordinator can't be reached, until the
        lease has ended. Lists that an earlier coordinator has asked for can't
        be reported any more.
        """
        lists = self._run_lists
        if lists.fence == self.fence and lists.has_unrecorded_end():
            return
        if self._attempts.get_undecided_time(now) > 0:
            # The next process of the same id may carry a start out.
            return
        self._end_departure(now, departures.Proof.REFUSED)

    def _end_departure(self, now: float, proof: departures.Proof) -> None:
        """Report that the worker has left, and discard its state."""
        self._departure.record_end(now, proof)
        self._discard_worker_state()
        self._register_candidate(now)
        self.report_requested = True

    def _handle_outranked_poll(self, call: calls.PollCall) -> None:
        """Report that the worker has seen a higher token, if that persists.

        A poll may be overtaken by a call with a token that has risen since.
        """
        if call.token != self._token.value:
            return
        LOG.warning(
            'worker has seen a higher fencing token',
            extra={'worker': call.lifetime.worker, 'token': call.token},
        )
        self._token.catch_up(call.token)
        # Until a poll is answered the agent knows nothing of the runs.
        self._lease_tracker.record_failure()
        self.report_requested = True

    def _outrank(
        self,
        now: float,
        call: calls.Call,
        result: calls.Result,
    ) -> None:
        """Raise the token above a call that may still be carried out."""
        if not isinstance(result, calls.Unanswered) or not result.sent:
            return
        self._acknowledgements.record_undecided(now, call)
        if self._token.outrank(call.token):
            # The token can't rise again in this session.
            self._begin_session('the token has reached its last value')

    def _record_crash(self, now: float) -> None:
        """Record that the known worker has ended without leaving.

        A draining worker has announced its end and may omit the notice that
        it leaves.
        """
        if self.profile is None or self.profile.draining:
            return
        if self._departure.is_announced(self.profile.lifetime):
            return
        self._crash_log.record(
            now,
            self._lease_tracker.get_last_answer_time(),
            self.profile.lifetime,
            self._run_lists.latest,
            self._attempts.list_calls(),
        )

    def _discard_worker_state(self) -> None:
        # The next process has seen no token yet.
        self._token.outrank(self._token.value)
        self.profile = None
        self._run_lists = run_lists.RunLists()
        self._lease_tracker.reset()
        self._attempts.clear()

    def _refuse_runs_of_expired_lease(self, now: float) -> None:
        """Mark the runs of a worker whose lease has expired as refused.

        The next report tells the coordinator that the runs do not run and
        never will, so that it may start them on another worker. Runs with an
        undecided start follow later.
        """
        newly_refused_count = self._attempts.refuse_lapsed(
            now, self._run_lists.remove_running(), 'the lease has ended'
        )
        if newly_refused_count:
            events.log_expired_lease(
                self.profile,
                self._lease_tracker.get_silence(now),
                newly_refused_count,
            )

    def _record_lists(
        self,
        now: float,
        sent: float,
        call: calls.PollCall,
        lists: calls.Lists,
    ) -> None:
        if self._lease_tracker.get_silence(now):
            # A silent worker's lease is only renewed again once the
            # coordinator has answered a new report.
            self.report_requested = True
        self._lease_tracker.record_answer(now, sent, lists.clock)
        self._acknowledgements.record_lists(lists)
        if self._run_lists.update(call.fence, lists):
            self.report_requested = True
        self._attempts.apply_running(now, lists)
        if self._acknowledgements.may_hide_ends:
            # The end of a stopped run shows whether the process lists ends.
            for row in lists.running:
                self._attempts.order_stop(now, row.run)
        self._attempts.confirm_stops(now, sent, lists)


def make_process_id() -> str:
    """Return a new random id for a process of an agent."""
    return secrets.token_hex(8)
