"""Calls to an agent's worker that are due, and their results."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.agent import calls
from damaskpin.agent import events

if TYPE_CHECKING:
    from damaskpin.agent import session as sessions
    from damaskpin.agent import worker_process

LOG = logging.getLogger(__name__)

# Longest time in seconds that a worker may delay the answer to a poll of its
# runs. Each poll renews the lease, so this also bounds the renewal interval.
POLL_WAIT_S = 0.5

# Seconds of lease that must remain for a start call to be sent.
MIN_START_LEASE_S = 0.5


class WorkerCalls:
    """Polls, start calls and stop calls of an agent to its worker.

    :param session: session of the agent with the coordinator.
    :param worker: process that the calls are meant for.
    """

    __slots__ = ('_session', '_worker')

    def __init__(
        self,
        session: sessions.Session,
        worker: worker_process.WorkerProcess,
    ) -> None:
        self._session = session
        self._worker = worker

    def collect_due(
        self, now: float
    ) -> list[calls.StartCall | calls.StopCall]:
        """Return the start and stop calls that are due at the worker."""
        worker = self._worker
        worker.lease_tracker.advance_elapsed_time(now)
        profile = worker.profile
        if profile is None:
            return []
        if worker.lease_tracker.is_lease_expired(now):
            worker.handle_expired_lease(now)
            return []
        if worker.lease_tracker.must_end_runs(now):
            worker.stop_outlasting_runs(now)
        due_calls: list[calls.StartCall | calls.StopCall] = []
        due_calls.extend(
            worker.attempts.collect_due_stops(
                now, profile.lifetime, worker.token
            )
        )
        has_lists = worker.run_lists.is_complete(self._session.fence)
        if profile.draining:
            worker.attempts.refuse_pending(now, 'draining', has_lists)
            return due_calls
        until = worker.lease_tracker.extend_lease(now)
        if (
            until is None
            or worker.lease_tracker.get_certain_lease(now) < MIN_START_LEASE_S
        ):
            return due_calls
        starts = worker.attempts.collect_due_starts(
            now, profile.lifetime, worker.token, until, has_lists
        )
        for call in starts:
            # Coordinators of earlier releases give no session numbers and
            # don't tell reliably whether an order is repeated.
            is_own = not call.order.repeated and worker.token.session > 0
            worker.undecided_starts.record_call(call.order.run, is_own)
        return [*due_calls, *starts]

    def make_poll(self, now: float) -> calls.PollCall | None:
        """Return the next call that renews the lease and lists the runs.

        :returns: ``None`` without a known worker or coordinator.
        """
        worker = self._worker
        if worker.profile is None or not self._session.fence:
            return None
        acknowledged = 0
        if not worker.lease_tracker.has_failed_poll():
            acknowledged = worker.acknowledgements.get_serial(
                now,
                worker.lease_tracker.get_last_answer_time(),
                worker.run_lists,
            )
        until = None
        if not worker.is_leaving():
            # The lease of a worker that leaves is left to expire, in case that
            # nothing else proves its end.
            until = worker.lease_tracker.extend_lease(now)
        return calls.PollCall(
            worker.profile.lifetime,
            self._session.fence,
            acknowledged,
            until,
            self._choose_poll_wait(now),
            worker.token.value,
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
        worker = self._worker
        if worker.profile is None or call.lifetime != worker.profile.lifetime:
            self._handle_former_poll(now, call, result)
            return
        match result:
            case calls.Lists(born=born) if born not in (0, call.lifetime.born):
                # The worker was restarted with the same id; a heartbeat
                # of the new process follows.
                events.log_worker_restart(
                    call.lifetime, born, len(result.running)
                )
                worker.acknowledgements.record_undecided(now, call)
                worker.end_lifetime(now, keeps_id=True)
            case calls.Lists(born=born):
                self._record_lists(now, sent, call, result)
                worker.judge_candidate(now, sent, born)
            case calls.OtherProcess():
                self._handle_other_process(now, call, result)
            case calls.Withheld():
                worker.lease_tracker.record_failure()
            case calls.Refused(reason=calls.OTHER_LIFETIME):
                LOG.info(
                    'another worker answers; waiting for its heartbeat',
                    extra={'worker': call.lifetime.worker},
                )
                worker.end_lifetime(now, keeps_id=False)
            case calls.Refused(outranked=True):
                self._handle_outranked_poll(call)
            case calls.Unanswered():
                worker.lease_tracker.record_failure()
                self._outrank(now, call, result)
                if result.refused and worker.is_leaving():
                    worker.handle_refused_connection(now)
                elif result.refused and worker.has_candidate():
                    worker.replace(now)

    def handle_start_result(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Handle the result of a start call."""
        self._outrank(now, call, result)
        self._worker.undecided_starts.record_result(
            now, call.order.run, result
        )
        if isinstance(result, calls.OtherProcess):
            self._handle_other_process(now, call, result)
            return
        if not self._is_current(call):
            events.log_late_start_result(call, None, result)
            return
        self._worker.attempts.handle_start_result(now, call, result)
        if self._worker.acknowledgements.may_hide_ends:
            self._worker.attempts.order_stop(now, call.order.run)

    def handle_stop_result(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Handle the result of a stop call."""
        self._outrank(now, call, result)
        if isinstance(result, calls.OtherProcess):
            self._handle_other_process(now, call, result)
            return
        if self._is_current(call):
            self._worker.attempts.handle_stop_result(now, call, result)

    def _is_current(self, call: calls.Call) -> bool:
        """Return whether a call was made for the known process.

        The result of a call to a former one tells nothing of the next.
        """
        profile = self._worker.profile
        if profile is None or call.lifetime != profile.lifetime:
            return False
        return call.fence == self._session.fence

    def _choose_poll_wait(self, now: float) -> float:
        """Return the seconds for which a poll may wait for a run to end."""
        worker = self._worker
        if (
            # The worker answers at once while it lists ended runs.
            worker.run_lists.count_ends()
            or not worker.run_lists.is_complete(self._session.fence)
            or worker.attempts.has_unconfirmed_stop()
            # After a standstill a full lease needs a new clock reading.
            or worker.lease_tracker.is_reading_old(now)
            # The poll looks for the end of the process.
            or worker.is_leaving()
            or worker.has_candidate()
        ):
            return 0.0
        return POLL_WAIT_S

    def _handle_former_poll(
        self, now: float, call: calls.PollCall, result: calls.Result
    ) -> None:
        """Handle the result of a poll that was meant for a former process."""
        match result:
            case calls.Lists(born=born) if born not in (0, call.lifetime.born):
                # Another process has carried it out.
                self._worker.acknowledgements.record_undecided(now, call)
        self._outrank(now, call, result)

    def _handle_other_process(
        self, now: float, call: calls.Call, result: calls.OtherProcess
    ) -> None:
        """End the known process, as another one answers at its address."""
        profile = self._worker.profile
        if profile is None or call.lifetime != profile.lifetime:
            return
        events.log_worker_restart(
            call.lifetime, result.lifetime.born, result.running
        )
        self._worker.end_lifetime(now, keeps_id=True)

    def _handle_outranked_poll(self, call: calls.PollCall) -> None:
        """Report that the worker has seen a higher token, if that persists.

        A poll may be overtaken by a call with a token that has risen since.
        """
        token = self._worker.token
        if call.token != token.value:
            return
        LOG.warning(
            'worker has seen a higher fencing token',
            extra={'worker': call.lifetime.worker, 'token': call.token},
        )
        token.catch_up(call.token)
        # Until a poll is answered the agent knows nothing of the runs.
        self._worker.lease_tracker.record_failure()
        self._session.report_requested = True

    def _outrank(
        self,
        now: float,
        call: calls.Call,
        result: calls.Result,
    ) -> None:
        """Raise the token above a call that may still be carried out."""
        if not isinstance(result, calls.Unanswered) or not result.sent:
            return
        self._worker.acknowledgements.record_undecided(now, call)
        if self._worker.token.outrank(call.token):
            # The token can't rise again in this session.
            self._session.renew('the token has reached its last value')

    def _record_lists(
        self,
        now: float,
        sent: float,
        call: calls.PollCall,
        lists: calls.Lists,
    ) -> None:
        worker = self._worker
        if worker.lease_tracker.get_silence(now):
            # A silent worker's lease is only renewed again once the
            # coordinator has answered a new report.
            self._session.report_requested = True
        worker.lease_tracker.record_answer(now, sent, lists.clock)
        worker.acknowledgements.record_lists(lists)
        if worker.token.voids_former_calls(call.token):
            worker.run_lists.former_calls_void = True
        if worker.run_lists.update(call.fence, lists):
            self._session.report_requested = True
        worker.attempts.apply_running(now, lists)
        if worker.acknowledgements.may_hide_ends:
            # The end of a stopped run shows whether the process lists ends.
            for row in lists.running:
                worker.attempts.order_stop(now, row.run)
        worker.attempts.confirm_stops(now, sent, lists)
