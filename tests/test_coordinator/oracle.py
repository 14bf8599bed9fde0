"""Oracle of the simulation: the promises that each run must keep."""

from __future__ import annotations

import collections

from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import failures


class Oracle:
    """Checks starts and ends of runs, as the workers carry them out.

    A work item has no second run at the same time and none after its recorded
    end, steps wait for their predecessors, the number of failed runs is within
    its limit, and the worker has enough capacity.

    :param submissions: submitted jobs by id.
    :param store: stored progress by id of the job.
    :ivar failures: checks of failed runs.
    :ivar done_items: work items with a good end that was acknowledged.
    """

    def __init__(self, submissions, store):
        self._submissions = submissions
        self._store = store
        self._running_runs = {}
        self._later_starts = collections.defaultdict(set)
        # Numbers of the events of each work item, which order them in time.
        self._event_count = 0
        self._starts = collections.defaultdict(list)
        self._ends = {}
        # Runs whose end does not count, as their worker's lease has lapsed
        # before it was acknowledged, and runs that have ended well by item.
        self._void_runs = set()
        self._good_runs = collections.defaultdict(set)
        self.failures = failures.Failures(submissions, store, self._void_runs)
        self.done_items = set()
        self.start_count = 0
        self.starts_by_item = collections.Counter()

    def check_start(self, worker, run):
        """Check a run that a worker has just started."""
        self.start_count += 1
        self.starts_by_item[run.item] += 1
        submission = self._submissions[run.item.job]
        step = submission.steps[run.item.step]
        others = self._running_runs.setdefault(run.item, set())
        assert not others, f'{run} starts beside {others}'
        others.add(run)
        assert run.item not in self.done_items, (
            f'{run} starts after an end that was taken note of'
        )
        self._later_starts[run.item].add(run)
        event = self._count_event()
        self._starts[run.item].append((event, run))
        self._check_record(run, step)
        self.failures.record_start(event, worker, run)
        self._check_capacity(worker)

    def record_end(self, run, ending):
        """Record that a run has ended.

        :param ending: how; ``None`` if its worker has crashed.
        """
        self._running_runs[run.item].discard(run)
        self._ends[run] = self._count_event()
        if ending is work.Ending.DONE:
            for member in self._list_members(run.item):
                self._good_runs[member].add(run)
        self.failures.record_end(run, ending)

    def record_void(self, row):
        """Record that a listed end does not count, though it may be stored."""
        self._void_runs.add(row.run)

    def record_noted(self, row):
        """Check an end that the agent has acknowledged.

        The end counts from then on, so no run may have started after it.
        """
        event = self._ends[row.run]
        self.failures.record_noted(row.run, row.ending, event)
        if row.ending is work.Ending.DONE:
            self._record_done(row)

    def _record_done(self, row):
        for member in self._list_members(row.run.item):
            later = {
                run
                for run in self._later_starts[member]
                if run.number > row.run.number
            }
            later |= {
                run
                for event, run in self._starts[member]
                if event > self._ends[row.run]
            }
            assert not later, f'{later} started after the end of {row.run}'
            self.done_items.add(member)

    def _check_record(self, run, step):
        """Check a start against the stored progress of its job."""
        submission = self._submissions[run.item.job]
        progress = records.Progress()
        if run.item.job in self._store:
            progress = records.decode_progress(self._store[run.item.job])
        steps = progress.occurrences.get(0)
        assert steps is not None, 'a run starts that no job has recorded'
        numbers = steps[run.item.step].numbers
        slot = 0 if step.gang else run.item.index
        assert run.number <= numbers.get(slot, 0)
        done = steps[run.item.step].done
        if run.item.index in done:
            counted = self._good_runs[run.item] - self._void_runs
            assert not counted, f'{run} starts after its end {counted}'
        for predecessor in step.after:
            count = submission.steps[predecessor].count
            assert len(steps[predecessor].done) >= count, (
                f'{run} starts before its predecessor has ended'
            )
        self.failures.check_record(run, steps[run.item.step])

    def _list_members(self, item):
        """Return the work items that end well with one: itself or its gang."""
        step = self._submissions[item.job].steps[item.step]
        if not step.gang:
            return [item]
        return [
            work.Item(item.job, item.occurrence, item.step, index)
            for index in range(step.count)
        ]

    def _check_capacity(self, worker):
        used = work.Resources()
        for other in worker.running:
            step = self._submissions[other.item.job].steps[other.item.step]
            used = used.plus(step.get_reservation())
        assert worker.capacity.can_fit(used), (
            f'{worker.lifetime} is overcommitted'
        )

    def _count_event(self):
        self._event_count += 1
        return self._event_count
