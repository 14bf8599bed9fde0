"""Runs that fail on the simulated workers, and the jobs that end for them."""

from __future__ import annotations

import collections
import random

from damaskpin.model import crash_limits

# Shares of the failing runs of work items and of gangs.
FAILURE_SHARE = 0.15
GANG_FAILURE_SHARE = 0.4
# Share of the failing runs of a gang whose members fail at the same moment,
# and of the other members that live on.
TOGETHER_SHARE = 0.5
SURVIVOR_SHARE = 0.3
# Longest times in milliseconds between failures of members of one run, and
# until another member learns of the first one and breaks off.
MAX_APART_MS = 500
MAX_NEWS_MS = 500


class Failures:
    """Draws which runs fail, and knows which ones have failed.

    The draws depend on the names of the work items alone, so that all workers
    draw the same for one run of a gang.
    """

    def __init__(self):
        self._steps = {}
        # Monotonic time in milliseconds of the first failure by gang run.
        self._first_failures = {}
        # Tasks that have failed by unit and run number; a unit is a work item
        # or a gang.
        self._failed = collections.defaultdict(
            lambda: collections.defaultdict(set)
        )
        # Numbers of the runs under which a worker has crashed, by task.
        self._crashed = collections.defaultdict(set)
        self._highest_runs = collections.Counter()

    def add_job(self, job, steps):
        """Let runs of a job fail from now on."""
        self._steps[job] = steps

    def record_start(self, task, run_number):
        unit = self._find_unit(task)
        self._highest_runs[unit] = max(self._highest_runs[unit], run_number)

    def draw_failure(self, task, run_number, duration_ms):
        """Return the time after its start at which a run fails.

        :param duration_ms: time that the run takes, in milliseconds.
        :returns: milliseconds; ``None`` if the run does not fail.
        """
        step = self._find_step(task)
        if step is None:
            return None
        unit, index = self._find_unit(task), int(task.split('.')[3])
        rng = random.Random(f'{unit}.{run_number}')
        gang = step.get('gang', False)
        if rng.random() >= (GANG_FAILURE_SHARE if gang else FAILURE_SHARE):
            return None
        failure = int(rng.uniform(0.1, 0.9) * duration_ms)
        if not gang:
            return failure
        members = range(step['count'])
        if index not in rng.sample(members, rng.randint(1, len(members))):
            return None
        if rng.random() < TOGETHER_SHARE:
            return failure
        return failure + random.Random(task).randint(0, MAX_APART_MS)

    def get_break_time(self, task, run_number):
        """Return when a run ends because another member has failed.

        :returns: monotonic time in milliseconds; ``None`` for never.
        """
        key = (self._find_unit(task), run_number)
        first_failure = self._first_failures.get(key)
        rng = random.Random(f'{task}.{run_number}')
        if first_failure is None or rng.random() < SURVIVOR_SHARE:
            return None
        return first_failure + rng.randint(0, MAX_NEWS_MS)

    def record_failure(self, task, run_number, ended_at):
        """Record that a run has failed.

        :param ended_at: monotonic time in milliseconds.
        """
        unit = self._find_unit(task)
        self._failed[unit][run_number].add(task)
        step = self._find_step(task)
        if step is not None and step.get('gang', False):
            self._first_failures.setdefault((unit, run_number), ended_at)

    def record_crash(self, task, run_number):
        """Record that a worker has crashed under a run.

        :param run_number: number of a run that was live, or whose end was not
            acknowledged, so that the agent may have taken it for a live one.
        """
        self._crashed[task].add(run_number)

    def count_shared_runs(self):
        """Return the number of runs in which several members have failed."""
        return sum(
            len(tasks) > 1
            for runs in self._failed.values()
            for tasks in runs.values()
        )

    def list_unexplained(self, failed_jobs, attempts):
        """Return descriptions of failed jobs with attempts left.

        :param failed_jobs: reasons of the jobs that are shown as failed.
        :param attempts: failed runs after which a job fails. A run of a gang
            counts once, however many members fail.
        """
        unexplained = []
        for job, reason in sorted(failed_jobs.items()):
            failed = {
                unit: sorted(runs)
                for unit, runs in self._failed.items()
                if unit.startswith(f'{job}.')
            }
            if any(len(runs) >= attempts for runs in failed.values()):
                continue
            if 'crashed' in reason and self._may_crash_workers(job):
                continue
            unexplained.append(
                f'{job} is shown as failed ({reason}) with attempts left of '
                f'{attempts}; failed runs: {failed}'
            )
        return unexplained

    def _may_crash_workers(self, job):
        """Return whether the limits on crashes may end a job.

        An agent may count a run that it has only called its worker for.
        """
        for task, runs in self._crashed.items():
            called_count = self._highest_runs[self._find_unit(task)]
            if task.split('.')[0] != job:
                continue
            if len(runs) >= crash_limits.MAX_SUSPECTED_CRASHES:
                return True
            if called_count >= crash_limits.MAX_CRASHES:
                return True
            if (
                len(runs) >= crash_limits.MIN_PROVED_CRASHES
                and called_count >= crash_limits.MAX_POSSIBLE_CRASHES
            ):
                return True
        return False

    def _find_step(self, task):
        """Return the step of a task; ``None`` if its job is unknown."""
        job, _, step, _ = task.split('.')
        steps = self._steps.get(job)
        return None if steps is None else steps[int(step)]

    def _find_unit(self, task):
        """Return the name of a task, or of its gang."""
        step = self._find_step(task)
        if step is not None and step.get('gang', False):
            return task.rpartition('.')[0]
        return task
