"""The process that an agent takes for its worker, and its replacement.

Heartbeats name candidates, notices announce departures, and answers of other
processes prove ends.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.agent import acknowledgements
from damaskpin.agent import attempts
from damaskpin.agent import crash_log
from damaskpin.agent import departure as departures
from damaskpin.agent import events
from damaskpin.agent import fencing
from damaskpin.agent import run_lists
from damaskpin.agent import successor
from damaskpin.agent import undecided_starts

if TYPE_CHECKING:
    from damaskpin.agent import lease_tracker as lease_trackers
    from damaskpin.agent import session as sessions
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


class WorkerProcess:
    """Known process of the worker, with the state that ends with it.

    :param session: session of the agent with the coordinator.
    :param lease_tracker: clock and lease of the process.
    :ivar profile: profile in the worker's latest heartbeat; ``None`` without a
        known worker.
    :ivar token: token of the next call to the worker.
    :ivar undecided_starts: start calls that may still be carried out.
    :ivar departure: notices of leaving, and processes that have ended.
    :ivar crash_log: crashes of the worker.
    """

    __slots__ = (
        '_candidate',
        '_session',
        'acknowledgements',
        'attempts',
        'crash_log',
        'departure',
        'lease_tracker',
        'profile',
        'run_lists',
        'token',
        'undecided_starts',
    )

    def __init__(
        self,
        session: sessions.Session,
        lease_tracker: lease_trackers.LeaseTracker,
    ) -> None:
        self._session = session
        self.profile: orders.WorkerProfile | None = None
        self.departure = departures.Departure()
        self._candidate: successor.Candidate | None = None
        self.token = fencing.CallToken()
        self.lease_tracker = lease_tracker
        self.run_lists = run_lists.RunLists()
        self.attempts = attempts.Attempts()
        self.undecided_starts = undecided_starts.UndecidedStarts()
        self.acknowledgements = acknowledgements.Acknowledgements()
        self.crash_log = crash_log.CrashLog()

    def handle_heartbeat(
        self, now: float, profile: orders.WorkerProfile, clock: int | None
    ) -> None:
        """Record the profile and clock that the worker's heartbeat carries.

        :param clock: milliseconds on the worker's clock.
        """
        if self.departure.has_ended(profile.lifetime):
            LOG.info('heartbeat of an ended worker process ignored')
            return
        if self.departure.is_leaving(profile):
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
            if not self._session.fence or self.lease_tracker.is_lease_expired(
                now
            ):
                # No poll is sent yet, or the known process has no runs left.
                self.replace(now)
            return
        if previous is None:
            events.log_worker(profile.lifetime)
            self.acknowledgements.record_process(now, profile.lifetime)
            self._session.report_requested = True
        elif previous.draining != profile.draining:
            events.log_worker_state(profile)
            self._session.report_requested = True
        self.profile = profile
        self.lease_tracker.record_heartbeat(now, clock)

    def handle_leave(self, now: float, worker: str) -> None:
        """Record that the worker has announced its end."""
        if self.profile is None or self.profile.lifetime.worker != worker:
            return
        self.departure.record_notice(now, self.profile)

    def is_leaving(self) -> bool:
        """Return whether the worker has given notice and may still run."""
        return self.departure.is_leaving(self.profile)

    def has_candidate(self) -> bool:
        """Return whether another process may have replaced the known one."""
        return self._candidate is not None

    def judge_candidate(self, now: float, sent: float, born: int) -> None:
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
            self.replace(now)
        elif sent >= candidate.received_at:
            events.log_delayed_heartbeat(candidate.profile.lifetime, known)
            self._candidate = None

    def replace(self, now: float) -> None:
        """Take the candidate for the worker's process from now on."""
        if self.profile is None or self._candidate is None:
            return
        new_worker = self._candidate.profile.lifetime.worker
        keeps_id = self.profile.lifetime.worker == new_worker
        self.end_lifetime(now, keeps_id)

    def end_lifetime(self, now: float, keeps_id: bool) -> None:
        """Discard the state of a process that another has replaced.

        The answer of the other one proves the end. Heartbeats of the ended
        process that arrive later are ignored. The other one is registered if
        it has sent a heartbeat.

        :param keeps_id: whether the other one has the same id.
        """
        if self.profile is not None:
            self.departure.replaced = self.profile.lifetime
        self._record_crash(now)
        self.departure.record_end(now, departures.Proof.REPLACED, keeps_id)
        self._discard_state()
        self._register_candidate(now)

    def end_departure(self, now: float, proof: departures.Proof) -> None:
        """Report that the worker has left, and discard its state."""
        self.departure.record_end(now, proof)
        self._discard_state()
        self._register_candidate(now)
        self._session.report_requested = True

    def handle_refused_connection(self, now: float) -> None:
        """Report the end of a process that has given notice.

        Ends of runs that it has listed are reported first, as they would be
        lost with its lists; if the coordinator can't be reached, until the
        lease has ended. Lists that an earlier coordinator has asked for can't
        be reported any more.
        """
        lists = self.run_lists
        if lists.fence == self._session.fence and lists.has_unrecorded_end():
            return
        if self.attempts.get_undecided_time(now) > 0:
            # The next process of the same id may carry a start out.
            return
        self.end_departure(now, departures.Proof.REFUSED)

    def handle_expired_lease(self, now: float) -> None:
        """Settle the runs of a process whose lease has expired."""
        if self.is_leaving():
            if self.attempts.get_undecided_time(now) <= 0:
                self.end_departure(now, departures.Proof.LEASE_ENDED)
            return
        self._refuse_runs_of_expired_lease(now)
        if self._candidate is not None:
            self.replace(now)

    def stop_outlasting_runs(self, now: float) -> None:
        """Stop the runs of a lease that has outlasted the grant."""
        stopped_count = 0
        for run in self.run_lists.list_running():
            stopped_count += self.attempts.order_stop(now, run)
        if stopped_count and self.profile is not None:
            events.log_outlasting_runs(self.profile.lifetime, stopped_count)

    def _refuse_runs_of_expired_lease(self, now: float) -> None:
        """Mark the runs of a worker whose lease has expired as refused.

        The next report tells the coordinator that the runs do not run and
        never will, so that it may start them on another worker. Runs with an
        undecided start follow later.
        """
        newly_refused_count = self.attempts.refuse_lapsed(
            now, self.run_lists.remove_running(), 'the lease has ended'
        )
        if newly_refused_count:
            events.log_expired_lease(
                self.profile,
                self.lease_tracker.get_silence(now),
                newly_refused_count,
            )

    def _register_candidate(self, now: float) -> None:
        """Register the process that has sent a heartbeat meanwhile, if any."""
        candidate = self._candidate
        self._candidate = None
        if candidate is not None:
            self.handle_heartbeat(now, candidate.profile, candidate.clock)

    def _record_crash(self, now: float) -> None:
        """Record that the known worker has ended without leaving.

        A draining worker has announced its end and may omit the notice that
        it leaves.
        """
        if self.profile is None or self.profile.draining:
            return
        if self.departure.is_announced(self.profile.lifetime):
            return
        self.crash_log.record(
            now,
            self.lease_tracker.get_last_answer_time(),
            self.profile.lifetime,
            self.run_lists,
            self.attempts.list_calls(),
        )

    def _discard_state(self) -> None:
        # The next process has seen no token yet.
        self.token.outrank_former_process()
        self.undecided_starts.end_process()
        self.profile = None
        self.run_lists = run_lists.RunLists()
        self.lease_tracker.reset()
        self.attempts.clear()
