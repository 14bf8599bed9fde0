"""Latest times at which the runs of a worker may still exist.

A worker's runs end with its lease at the latest. The end of a lease is known
from the grants of the worker's agent, from what the agent reports of a silent
worker, and from the replacement of the worker's process. The lease counts on
the worker's clock, which stands still while its machine is suspended, so that
each end allows for a suspension after the evidence that it follows from.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from damaskpin.model import leases

if TYPE_CHECKING:
    from damaskpin.coordinator import worker_state
    from damaskpin.peer import orders

# Margin in seconds that is added to the remaining lease that an agent reports
# for a silent worker. The agent checks its clock only at intervals, and if it
# is alive it reports the end of the lease itself.
REPORTED_LEASE_MARGIN_S = 1.0

# Time in seconds by which the lease of a restarted worker may outlast the
# grant of its agent: a worker's longest lease plus the longest delay of a
# call. A delayed call to the former process may reach the new process and set
# the longest lease there.
RESTART_LEASE_EXTENSION_S = 22.0


class Evidence(enum.StrEnum):
    """What the latest end of a worker's runs follows from, as logs tell it.

    - ``ANSWER``: latest report of the agent that this coordinator answered.
    - ``REPORTED_LEASE``: end of a silent worker's lease, as its agent reports.
    - ``SILENCE_RECORD``: record of silent agents of the former coordinator.
    - ``FORMER_LEASE``: end of the former coordinator's lease as leader.
    - ``FORMER_COORDINATOR``: last grants, as the former coordinator tells.
    - ``TAKEOVER``: start of this coordinator, as the former one may have
      answered reports until then.
    """

    ANSWER = 'answered report'
    REPORTED_LEASE = 'reported lease'
    SILENCE_RECORD = 'record of silent agents'
    FORMER_LEASE = 'lease of the former coordinator'
    FORMER_COORDINATOR = 'former coordinator'
    TAKEOVER = 'takeover'


class RunEnds:
    """Derives the latest end of a worker's runs from the evidence of it.

    :param grant: length of a grant in seconds, counted from its start; see
        :class:`damaskpin.coordinator.grants.GrantStart`.
    :param stop_time: seconds that a worker takes to stop a run.
    :param longest_lease: longest lease in seconds that a worker allows.
    """

    __slots__ = ('_end_margin', '_grant', '_longest_lease')

    def __init__(
        self, grant: float, stop_time: float, longest_lease: float = 0.0
    ) -> None:
        self._grant = grant
        self._longest_lease = longest_lease
        self._end_margin = (
            leases.LEASE_EXPIRY_MARGIN_S + stop_time + leases.MAX_SUSPENSION_S
        )

    def get_granted_end(self, start: float) -> float:
        """Return the time by which all runs under a grant have ended.

        :param start: time in seconds from which the grant counts.
        """
        grant = self._grant * (1 + leases.MAX_CLOCK_SLOWDOWN)
        return start + grant + self._end_margin

    def renew(self, worker: worker_state.Worker, answered: float) -> None:
        """Put off the end of a worker's runs, as orders renew a grant.

        :param answered: time in seconds at which the report arrived that the
            orders answer.
        """
        self.put_off(worker, answered, Evidence.ANSWER)
        worker.run_end_reporter = ''

    def put_off(
        self, worker: worker_state.Worker, answered: float, evidence: Evidence
    ) -> None:
        """Put off the end of a worker's runs to that of a grant.

        :param answered: time in seconds of the report that counts as answered.
        :param evidence: what that time follows from.
        """
        granted_end = self.get_granted_end(answered)
        if granted_end > worker.latest_run_end:
            worker.latest_run_end = granted_end
            worker.run_end_evidence = evidence

    def bring_forward(
        self, worker: worker_state.Worker, answered: float, evidence: Evidence
    ) -> None:
        """Bring forward the end of a worker's runs to that of a grant.

        :param answered: time in seconds of the report that counts as answered.
        :param evidence: what that time follows from.
        """
        granted_end = self.get_granted_end(answered)
        if granted_end < worker.latest_run_end:
            worker.latest_run_end = granted_end
            worker.run_end_evidence = evidence

    def apply_silence(
        self, now: float, worker: worker_state.Worker, report: orders.Report
    ) -> None:
        """Follow the end of a silent worker's lease, as its agent reports it.

        A later report of the same process of the agent replaces an earlier
        one: if the machine was suspended in between, the lease ends later by
        that time. The first report of a process only brings the end forward.

        :param now: time in seconds at which the report has arrived.
        """
        reported_end = (
            now
            + report.lapse
            + REPORTED_LEASE_MARGIN_S
            + leases.MAX_SUSPENSION_S
        )
        if worker.run_end_reporter != report.process:
            reported_end = min(reported_end, worker.latest_run_end)
        worker.latest_run_end = reported_end
        worker.run_end_evidence = Evidence.REPORTED_LEASE
        worker.run_end_reporter = report.process

    def extend_restarted(
        self, now: float, worker: worker_state.Worker
    ) -> None:
        """Extend the lease of a worker that was restarted with its id.

        A call whose lease end is a time of the former process's clock may have
        set the longest lease that the new process allows. All such calls were
        sent before the agent reported the new process.
        """
        worker.lease_extension = RESTART_LEASE_EXTENSION_S
        worker.extension_end = (
            self.get_granted_end(now) + RESTART_LEASE_EXTENSION_S
        )

    def shorten_extension(
        self, now: float, worker: worker_state.Worker
    ) -> None:
        """Bound an extension by the longest lease, as set until now."""
        self.put_off(worker, now, Evidence.ANSWER)
        longest_lease_end = self._get_longest_lease_end(now)
        if longest_lease_end > worker.latest_run_end:
            worker.extension_end = min(worker.extension_end, longest_lease_end)
        else:
            worker.lease_extension = 0.0

    def _get_longest_lease_end(self, now: float) -> float:
        """Return the time by which a lease that is set now has ended."""
        lease = self._longest_lease / (1 - leases.MAX_CLOCK_SLOWDOWN)
        return now + lease + self._end_margin
