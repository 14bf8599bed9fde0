"""Failed runs of work items and gangs, and the jobs that end for them."""

from __future__ import annotations

import collections

from damaskpin.coordinator import records
from damaskpin.model import crash_limits
from damaskpin.model import work


class Failures:
    """Checks that work stops after its last allowed failure, and not before.

    A unit is a work item or a gang. A run of a unit counts once, by its
    number, however many members of a gang fail in it.

    :param submissions: submitted jobs by id.
    :param store: stored progress by id of the job.
    :param void_runs: runs whose end does not count, though it may be stored.
    """

    def __init__(self, submissions, store, void_runs=()):
        self._submissions = submissions
        self._store = store
        self._void_runs = void_runs
        # Number of the event, worker and run of each start, by unit.
        self._starts = collections.defaultdict(list)
        # Runs of work items that have failed on a worker, by unit.
        self._failed = collections.defaultdict(set)
        # Number of the event of the end by failed run whose end was
        # acknowledged, by unit.
        self._noted = collections.defaultdict(dict)
        self._noted_runs = set()
        self._explained_jobs = set()

    def record_start(self, event, worker, run):
        """Record a start and check it against the failures so far."""
        unit = self._find_unit(run.item)
        self._starts[unit].append((event, worker, run))
        self._check_starts(unit)

    def check_record(self, run, progress):
        """Check a start against the stored progress of its step.

        The failure of another member does not end the run that is starting.
        """
        unit = self._find_unit(run.item)
        slot = unit[-1]
        failures = progress.failures.get(slot, 0)
        own_numbers = progress.failed_runs.get(slot, set())
        uncounted = self._find_void_numbers(unit)
        if run not in self._failed[unit]:
            uncounted.add(run.number)
        failures -= len(own_numbers & uncounted)
        attempts = self._get_attempts(run.item.job)
        assert failures < attempts, f'{run} starts after {failures} failures'

    def _find_void_numbers(self, unit):
        """Return the numbers of failed runs of which no end counts."""
        failed = self._failed[unit]
        counted = {r.number for r in failed if r not in self._void_runs}
        return {r.number for r in failed} - counted

    def record_end(self, run, ending):
        """Record that a run has ended, in whichever way."""
        if ending is work.Ending.FAILED:
            self._failed[self._find_unit(run.item)].add(run)

    def record_noted(self, run, ending, event):
        """Check an end that the agent has acknowledged.

        :param event: number of the event of the end.
        """
        self._noted_runs.add(run)
        if ending is not work.Ending.FAILED:
            return
        unit = self._find_unit(run.item)
        self._noted[unit][run] = event
        self._check_starts(unit)
        self._check_ended(unit)

    def check_failed_jobs(self, jobs):
        """Check that each job that is shown as failed has a cause.

        What is stored is the progress of these jobs at some time.

        :param jobs: jobs of the coordinator by id.
        """
        for job_id, job in jobs.items():
            if job_id in self._explained_jobs:
                continue
            if job.progress.state is not work.JobState.FAILED:
                continue
            self._check_cause(job_id, job.progress)
            self._explained_jobs.add(job_id)

    def count_shared_runs(self):
        """Return the number of runs in which several members have failed."""
        failed = collections.Counter(
            run.get_gang_run()
            for unit, runs in self._failed.items()
            if self._submissions[unit[0]].steps[unit[2]].gang
            for run in runs
        )
        return sum(count > 1 for count in failed.values())

    def _check_cause(self, job_id, progress):
        units = [unit for unit in self._starts if unit[0] == job_id]
        attempts = self._get_attempts(job_id)
        for unit in units:
            if len({run.number for run in self._failed[unit]}) >= attempts:
                return
        if 'crashed' in progress.reason and any(
            self._may_crash_workers(unit, progress) for unit in units
        ):
            return
        failed_runs = {
            unit: sorted(self._failed[unit], key=repr) for unit in units
        }
        raise AssertionError(
            f'{job_id} is shown as failed ({progress.reason}) although it '
            f'has attempts left of {attempts}: {failed_runs}'
        )

    def _may_crash_workers(self, unit, progress):
        """Return whether the limits on crashes may end the job of a unit.

        An agent may count a run that has ended unseen before its worker
        crashed, and one that it has only called the worker for.
        """
        _, occurrence, step, slot = unit
        numbers = progress.occurrences[occurrence][step].numbers
        called_count = numbers.get(slot, 0)
        numbers_by_item = collections.defaultdict(set)
        for _, worker, run in self._starts[unit]:
            if not worker.alive and run not in self._noted_runs:
                numbers_by_item[run.item].add(run.number)
        crash_count = max(map(len, numbers_by_item.values()), default=0)
        return (
            crash_count >= crash_limits.MAX_SUSPECTED_CRASHES
            or called_count >= crash_limits.MAX_CRASHES
            or (
                crash_count >= crash_limits.MIN_PROVED_CRASHES
                and called_count >= crash_limits.MAX_POSSIBLE_CRASHES
            )
        )

    def _check_starts(self, unit):
        """Check that no run has started after the last allowed failure.

        An end counts if it is acknowledged, before the start or after it. The
        failure of another member of the same run of a gang does not count.
        """
        attempts = self._get_attempts(unit[0])
        noted = self._noted[unit]
        if len({run.number for run in noted}) < attempts:
            return
        for event, _, run in self._starts[unit]:
            earlier = {
                other.number
                for other, ended in noted.items()
                if ended < event
                and (other.number != run.number or other == run)
            }
            assert len(earlier) < attempts, (
                f'{run} started after {attempts} failures: {earlier}'
            )

    def _check_ended(self, unit):
        """Check that the job of a unit without attempts left has ended.

        Ends are acknowledged when they are stored.
        """
        job_id = unit[0]
        numbers = {run.number for run in self._noted[unit]}
        if len(numbers) < self._get_attempts(job_id):
            return
        progress = records.decode_progress(self._store[job_id])
        if progress.state in (work.JobState.FAILED, work.JobState.CANCELED):
            return
        step = progress.occurrences[unit[1]][unit[2]]
        assert unit[3] in step.done, (
            f'{unit} has failed in the runs {numbers} and goes on'
        )

    def _find_unit(self, item):
        """Return job, occurrence, step and slot of a work item."""
        step = self._submissions[item.job].steps[item.step]
        slot = 0 if step.gang else item.index
        return item.job, item.occurrence, item.step, slot

    def _get_attempts(self, job_id):
        return self._submissions[job_id].terms.attempts
