"""Control of one worker: lease renewal, run orders and reports."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.agent import lease_tracker as lease_trackers
from damaskpin.agent import reports
from damaskpin.agent import session as sessions
from damaskpin.agent import worker_calls
from damaskpin.agent import worker_process

if TYPE_CHECKING:
    from damaskpin.agent import calls
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


class Agent:
    """Renews a worker's lease and passes the coordinator's orders to it.

    Times are seconds on a steady clock that also advances while the process
    is suspended. A fencing token is a number that is higher for each new
    coordinator; orders with a lower token than the highest known are refused.

    :param instance: instance id of this agent.
    :param grant: seconds for which the agent may keep renewing the lease,
        counted from the ``echo`` of the coordinator's orders.
    :param lease: maximum duration in seconds of one lease renewal.
    :param stop_time: seconds that a worker needs to stop a run.
    :param longest_lease: longest lease in seconds that a worker allows.
    :ivar coordinator: address of the coordinator; empty until it is known.
    :ivar entries: addresses of all entries.
    """

    __slots__ = (
        '_calls',
        '_session',
        '_worker',
        'coordinator',
        'entries',
    )

    def __init__(
        self,
        instance: str,
        grant: float,
        lease: float,
        stop_time: float,
        longest_lease: float = 0.0,
    ) -> None:
        self.coordinator = ''
        self.entries: tuple[str, ...] = ()
        self._session = sessions.Session(instance)
        self._worker = worker_process.WorkerProcess(
            self._session,
            lease_trackers.LeaseTracker(
                grant, lease, stop_time, longest_lease
            ),
        )
        self._calls = worker_calls.WorkerCalls(self._session, self._worker)

    @property
    def profile(self) -> orders.WorkerProfile | None:
        """Return the profile in the worker's latest heartbeat.

        It is ``None`` without a known worker.
        """
        return self._worker.profile

    @property
    def fence(self) -> int:
        """Return the coordinator's token; 0 before its first orders."""
        return self._session.fence

    @property
    def process(self) -> str:
        """Return the random id under which this process reports."""
        return self._session.process

    @property
    def last_report_time(self) -> float:
        """Return the time of the last report to the coordinator."""
        return self._session.last_report_time

    @last_report_time.setter
    def last_report_time(self, time: float) -> None:
        self._session.last_report_time = time

    @property
    def report_requested(self) -> bool:
        """Return whether a report is due at once."""
        return self._session.report_requested

    @report_requested.setter
    def report_requested(self, is_requested: bool) -> None:
        self._session.report_requested = is_requested

    def start(self, now: float) -> None:
        """Start the agent; ignore orders that answer earlier reports."""
        self._worker.lease_tracker.ignore_earlier_grants(now)
        self._worker.acknowledgements.start(now)
        self._worker.undecided_starts.start(now)

    def handle_heartbeat(
        self, now: float, profile: orders.WorkerProfile, clock: int | None
    ) -> None:
        """Record the profile and clock that the worker's heartbeat carries.

        :param clock: milliseconds on the worker's clock.
        """
        self._worker.handle_heartbeat(now, profile, clock)

    def handle_leave(self, now: float, worker: str) -> None:
        """Record that the worker has announced its end."""
        self._worker.handle_leave(now, worker)

    def is_worker_leaving(self) -> bool:
        """Return whether the worker has given notice and may still run."""
        return self._worker.is_leaving()

    def handle_orders(self, now: float, message: orders.Orders) -> bool:
        """Apply orders of the coordinator unless they are outdated.

        :returns: ``False`` if the orders come from a previous coordinator,
            which has a lower fencing token.
        """
        session = self._session
        worker = self._worker
        if message.fence < session.fence:
            return False
        if session.is_for_former_process(message):
            # The orders answer a report of a former process. Their starts may
            # be known there as refused, and their grant counts from its clock.
            LOG.info('orders for a former process of the agent ignored')
            return True
        if message.fence > session.fence:
            # Discard orders of the previous coordinator: the new coordinator
            # decides again on each run that the worker does not list.
            worker.attempts.clear()
            session.set_coordinator(message.fence)
        if not session.record_orders(message.sequence):
            return True
        worker.token.set_session(message.fence, message.session)
        self.entries = message.entries
        worker.lease_tracker.record_grant(now, message.echo)
        if (
            worker.profile is None
            or message.lifetime != worker.profile.lifetime
        ):
            return True
        self._apply_run_orders(now, message)
        return True

    def handle_superseded(self, process: str) -> None:
        """Report under a new id from now on, unless it is done already.

        The coordinator has received an old report of a former process later
        than one of this process, and takes this process for the former one.

        :param process: id that the coordinator does not accept.
        """
        if process == self._session.process:
            self._session.renew('the coordinator knows a later process')

    def collect_due_calls(
        self, now: float
    ) -> list[calls.StartCall | calls.StopCall]:
        """Return the start and stop calls that are due at the worker."""
        return self._calls.collect_due(now)

    def make_poll(self, now: float) -> calls.PollCall | None:
        """Return the next call that renews the lease and lists the runs.

        :returns: ``None`` without a known worker or coordinator.
        """
        return self._calls.make_poll(now)

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
        self._calls.handle_poll_result(now, sent, call, result)

    def handle_start_result(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Handle the result of a start call."""
        self._calls.handle_start_result(now, call, result)

    def handle_stop_result(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Handle the result of a stop call."""
        self._calls.handle_stop_result(now, call, result)

    def is_report_due(self, now: float) -> bool:
        """Return whether a report to the coordinator is due."""
        return reports.is_report_due(now, self._session, self._worker)

    def make_report(self, now: float) -> orders.Report:
        """Return a report on the worker for the coordinator."""
        return reports.make_report(now, self._session, self._worker)

    def _apply_run_orders(self, now: float, message: orders.Orders) -> None:
        """Apply what orders say about the runs of the known process."""
        worker = self._worker
        if message.restarted:
            worker.acknowledgements.record_restart()
        worker.run_lists.recorded_serial = max(
            worker.run_lists.recorded_serial, message.observed
        )
        for order in message.starts:
            worker.attempts.order_start(now, message.get_start(order))
        for run in message.stops:
            worker.attempts.order_stop(now, run)
        listed = worker.run_lists.list_runs()
        ordered = {order.run for order in message.starts}
        worker.attempts.withdraw_starts(now, ordered, listed)
        worker.attempts.forget_settled(now, listed)
