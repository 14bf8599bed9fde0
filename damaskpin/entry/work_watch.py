"""Log of jobs that wait although the workers have room for them.

Nothing is decided here. What waits is found in the stored jobs and in the
lists of runs that the workers report, so that a fault in the books of the
coordinator shows as well. The books only tell the reason.
"""

from __future__ import annotations

import collections
import logging
import math
from typing import TYPE_CHECKING

from damaskpin.coordinator import due_steps
from damaskpin.coordinator import listed_runs
from damaskpin.coordinator import wait_reasons
from damaskpin.entry import job_ages
from damaskpin.entry import job_waits

if TYPE_CHECKING:
    from damaskpin.coordinator import coordinator as coordinators
    from damaskpin.coordinator import free_room
    from damaskpin.entry import view as views
    from damaskpin.model import work
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)

# Seconds between two checks.
CHECK_INTERVAL_S = 0.5

# Time in seconds without a listed run, and with room for the whole of it,
# after which a job counts as waiting.
MAX_WAIT_S = 2.0

# Share of a service from which listed runs use so much of it that waiting is
# usual.
MAX_USED_SHARE = 0.5

# Number of jobs that are logged as waiting at a time, so that a backlog does
# not fill the log, and least seconds between two lines about one of them.
MAX_LOGGED_JOBS = 5
MIN_LINE_INTERVAL_S = 1.0


class WorkWatch:
    """Finds accepted jobs that wait beside room.

    :param view: stored jobs.
    :ivar counts: number of waits by the first reason that was logged, for
        metrics.
    """

    __slots__ = (
        '_ages',
        '_coordinating_since',
        '_fence',
        '_listed',
        '_next_check',
        '_view',
        '_waits',
        'counts',
    )

    def __init__(self, view: views.JobView) -> None:
        self._view = view
        self._listed = listed_runs.ListedRuns()
        self._waits: dict[str, job_waits.Wait] = {}
        self._ages = job_ages.JobAges()
        self._next_check = 0.0
        # Fencing token of this entry's coordinator, and the first check of it.
        self._fence: int | None = None
        self._coordinating_since = 0.0
        self.counts: collections.Counter[str] = collections.Counter()

    def record_report(self, now: float, report: orders.Report) -> None:
        """Record the lists of runs in an agent's report.

        :param now: time of its arrival in seconds.
        """
        self._listed.record(now, report)

    def follow(self, now: float) -> None:
        """Follow the stored jobs only, as another entry coordinates.

        All reports and waits are forgotten, but not since when jobs are idle.

        :param now: steady time in seconds.
        """
        for job_id, wait in self._waits.items():
            self._ages.record_idle(job_id, wait.idle_since)
        self._waits = {}
        if self._listed.workers:
            self._listed = listed_runs.ListedRuns()
        self._fence = None
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL_S
        self._ages.update(now, self._view.list_jobs())

    def check(
        self,
        now: float,
        wall: float,
        coordinator: coordinators.Coordinator | None,
        has_lease: bool,
    ) -> None:
        """Log the jobs that wait for too long, and the ends of their waits.

        :param now: steady time in seconds.
        :param wall: Unix time in seconds.
        :param coordinator: the coordinator of this entry, or ``None``.
        :param has_lease: whether it may decide.
        """
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL_S
        fence = None if coordinator is None else coordinator.fence
        if fence != self._fence:
            self._fence = fence
            self._coordinating_since = now
        self._ages.update(now, self._view.list_jobs())
        former = self._waits
        self._waits = self._find_idle_jobs(now)
        if not (former or self._waits):
            return
        room = listed_runs.find_room(now, self._listed, self._find_reservation)
        self._update_room(now, wall, room)
        for job_id, wait in former.items():
            # A run that was listed between two checks has begun a new wait.
            if wait.reason and wait is not self._waits.get(job_id):
                self._log_end(now, job_id, wait)
        self._log_waits(now, wall, room, coordinator, has_lease)

    def _find_idle_jobs(self, now: float) -> dict[str, job_waits.Wait]:
        """Return the unfinished jobs of which no worker lists a run."""
        running = self._listed.find_running_jobs(now, MAX_WAIT_S)
        waits: dict[str, job_waits.Wait] = {}
        unfinished: set[str] = set()
        for job in self._view.list_jobs():
            if job.submission is None or job.cancelled:
                continue
            if job.progress.state.is_final():
                continue
            job_id = job.submission.id
            unfinished.add(job_id)
            if job_id in running:
                continue
            last_listed = self._listed.last_listed.get(job_id, -math.inf)
            wait = self._waits.get(job_id)
            if wait is None or wait.idle_since < last_listed:
                if last_listed < 0:
                    last_listed = min(self._ages.get_idle_since(job_id), now)
                wait = job_waits.Wait(last_listed)
            waits[job_id] = wait
        self._listed.forget_jobs(unfinished)
        return waits

    def _update_room(
        self, now: float, wall: float, room: free_room.FreeRoom
    ) -> None:
        """Find the idle jobs for which there is room."""
        # Those that were looked at longest ago come first, as the number of
        # searches is limited.
        waits = sorted(
            self._waits.items(), key=lambda item: item[1].searched_at
        )
        for job_id, wait in waits:
            due, is_known = self._find_startable(job_id, room, wall)
            if not is_known:
                continue
            wait.searched_at = now
            wait.due = due
            if due is None and wait.reason:
                self._log_end(now, job_id, wait)
            if due is None:
                wait.end_room()
            else:
                wait.room_since = min(wait.room_since, now)

    def _find_startable(
        self, job_id: str, room: free_room.FreeRoom, wall: float
    ) -> tuple[due_steps.DueStep | None, bool]:
        """Return a due step of a job for which there is ample room.

        :returns: the step, or ``None``, and whether this is known.
        """
        job = self._view.get(job_id)
        if job is None or job.submission is None:
            return (None, True)
        service = job.submission.terms.service
        if room.get_used_share(service) >= MAX_USED_SHARE:
            return (None, True)
        is_known = True
        for due in due_steps.iterate_due_steps(
            job.submission, job.progress, wall
        ):
            has_room = room.has_ample_room(
                service, due.step, due.count_together()
            )
            if has_room:
                return (due, True)
            is_known = is_known and has_room is not None
        return (None, is_known)

    def _find_reservation(self, run: work.Run) -> work.Resources | None:
        """Return the capacity that a listed run takes, if its job is known."""
        job = self._view.get(run.item.job)
        if job is None or job.submission is None:
            return None
        if run.item.step >= len(job.submission.steps):
            return None
        return job.submission.steps[run.item.step].get_reservation()

    def _log_waits(
        self,
        now: float,
        wall: float,
        room: free_room.FreeRoom,
        coordinator: coordinators.Coordinator | None,
        has_lease: bool,
    ) -> None:
        """Log new waits, and those whose reason has changed."""
        waiting = [
            (job_id, wait, wait.due)
            for job_id, wait in self._waits.items()
            if wait.due is not None and wait.room_since < now
        ]
        # Waits that have a line come first, so that they get the further ones.
        waiting.sort(key=lambda row: (not row[1].reason, row[1].room_since))
        del waiting[MAX_LOGGED_JOBS:]
        questions = [
            wait_reasons.Question(
                due, room.list_workers(due.service, due.step)
            )
            for _, _, due in waiting
        ]
        if coordinator is None:
            explanations = [wait_reasons.NOBODY_DECIDES for _ in questions]
        else:
            explanations = coordinator.explain_waits(now, wall, questions)
        if not has_lease:
            explanations = [e.mark_undecided() for e in explanations]
        for (job_id, wait, due), explanation in zip(
            waiting, explanations, strict=True
        ):
            wait.add_reason(explanation.reason, CHECK_INTERVAL_S)
            if now - wait.room_since < MAX_WAIT_S:
                continue
            if explanation.reason == wait.reason:
                continue
            if now - wait.logged_at < MIN_LINE_INTERVAL_S:
                continue
            if not wait.reason:
                self.counts[explanation.reason] += 1
            wait.reason = explanation.reason
            wait.logged_at = now
            fields = {
                'used_share': round(room.get_used_share(due.service), 3),
                **self._describe_ages(now, job_id),
                **explanation.fields,
            }
            job_waits.log_wait(now, wall, job_id, wait, due, fields)

    def _log_end(self, now: float, job_id: str, wait: job_waits.Wait) -> None:
        """Log that a job waits no more, and why."""
        LOG.info(
            'job waits no more',
            extra={
                'job': job_id,
                'reason': wait.reason,
                'reasons': dict(wait.reason_seconds),
                'with_room': round(now - wait.room_since, 3),
                'idle': round(now - wait.idle_since, 3),
                'end': self._find_end(job_id),
                **self._describe_ages(now, job_id),
            },
        )

    def _describe_ages(
        self, now: float, job_id: str
    ) -> dict[str, float | None]:
        """Return the age of a job's progress and of the coordinator.

        :returns: ``unchanged`` and ``coordinating`` in seconds; ``None`` if
            the job has ended or this entry does not coordinate.
        """
        ages: dict[str, float | None] = dict.fromkeys(
            ('unchanged', 'coordinating')
        )
        changed = self._ages.get_changed(job_id)
        if not math.isinf(changed):
            ages['unchanged'] = round(now - changed, 3)
        if self._fence is not None:
            ages['coordinating'] = round(now - self._coordinating_since, 3)
        return ages

    def _find_end(self, job_id: str) -> str:
        """Return what has ended a wait."""
        job = self._view.get(job_id)
        if job is None:
            return 'job removed'
        if job.cancelled or job.progress.state.is_final():
            return 'job ended'
        wait = self._waits.get(job_id)
        if wait is not None and wait.due is None:
            return 'no room, or no step due'
        return 'running'
