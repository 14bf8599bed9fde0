"""Check that no job waits for long beside idle workers after the last fault.

The rule on lost jobs is checked by what the workers run and by what the store
holds. The coordinator's books are only read to tell what kept the work.
"""

from __future__ import annotations

import collections

from damaskpin.coordinator import free_room
from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import idle_causes

# Longest time in seconds for which a job may have nothing running although
# one of its work items could start, and the time in seconds after the last
# fault from which that holds. Both are those of the rules on lost jobs.
MAX_WAIT_S = 3.0
FINISH_S = 14.0

# Share of the capacity in use from which a job may wait, and room that its
# work must find, as a multiple of its demand.
MAX_USED_SHARE = 0.5
ROOM_FACTOR = 2


class IdleCheck:
    """Measures the waits of all jobs from the last fault on.

    :param simulation: simulation whose faults are over.
    :param is_limit: whether a wait that is too long is an error; it is only
        recorded otherwise.
    :ivar breaks: descriptions of the waits that were too long, by job.
    :ivar longest_s: longest wait of a job in seconds.
    :ivar longest_late_s: longest wait in seconds of a job that still waited
        ``FINISH_S`` after the last fault.
    :ivar longest_causes: ticks of the longest wait by what kept the work.
    """

    def __init__(self, simulation, is_limit):
        self._simulation = simulation
        self._is_limit = is_limit
        self._healed = simulation.now
        self._starts = dict(simulation.oracle.starts_by_item)
        self._waits = {}
        self._ready = {}
        self.breaks = {}
        self.longest_s = 0.0
        self.longest_late_s = 0.0
        self.longest_causes = collections.Counter()

    def observe(self):
        """Measure the waits at this time.

        :raises AssertionError: a job has waited for too long, which is an
            error.
        """
        simulation = self._simulation
        workers = [
            (instance, instance.worker)
            for instance in simulation.instances
            if instance.worker.alive and simulation.now >= instance.down_until
        ]
        if measure_used_share(simulation, workers) >= MAX_USED_SHARE:
            self._waits.clear()
            return
        running = self._find_started_jobs()
        running.update(
            run.item.job for _, worker in workers for run in worker.running
        )
        for job_id in simulation.submissions:
            if job_id in running or job_id in simulation.cancelled:
                self._waits.pop(job_id, None)
                continue
            if not self._could_start(workers, job_id):
                self._waits.pop(job_id, None)
                continue
            self._extend_wait(job_id)

    def _find_started_jobs(self):
        """Return the jobs with a start since the last call.

        Work that crashes its worker is never seen at work.
        """
        starts = self._simulation.oracle.starts_by_item
        started = {
            item.job
            for item, count in starts.items()
            if count != self._starts.get(item)
        }
        if started:
            self._starts = dict(starts)
        return started

    def _could_start(self, workers, job_id):
        for step, count in self._list_ready_units(job_id):
            if has_ample_room(self._simulation, workers, step, count):
                return True
        return False

    def _extend_wait(self, job_id):
        now = self._simulation.now
        since, causes = self._waits.setdefault(
            job_id, (now, collections.Counter())
        )
        cause = idle_causes.find_cause(self._simulation, job_id)
        causes[cause] += 1
        wait = now - since
        self._record_cause(wait, cause)
        is_late = now - self._healed >= FINISH_S
        if wait > self.longest_s:
            self.longest_s = wait
            self.longest_causes = causes
        if is_late:
            self.longest_late_s = max(self.longest_late_s, wait)
        if is_late and wait >= MAX_WAIT_S and job_id not in self.breaks:
            self.breaks[job_id] = (
                f'{job_id} could run and has not for {wait:.1f} s, '
                f'{now - self._healed:.1f} s after the last fault: '
                f'{dict(causes.most_common())}'
            )
        assert not self._is_limit or not self.breaks, self.breaks[job_id]

    def _record_cause(self, wait, cause):
        """Record what keeps a job that has waited for some seconds."""

    def _list_ready_units(self, job_id):
        """Return the steps with ready work, by the store.

        :returns: pairs of a step and the number of work items that start
            together.
        """
        data = self._simulation.store.get(job_id)
        known = self._ready.get(job_id)
        if known is None or known[0] is not data:
            submission = self._simulation.submissions[job_id]
            known = (data, list_ready_units(submission, data))
            self._ready[job_id] = known
        return known[1]


def list_ready_units(submission, data):
    """Return the steps of a job with ready work and its number of items.

    :param data: stored progress; ``None`` if nothing is stored.
    """
    progress = records.Progress()
    if data is not None:
        progress = records.decode_progress(data)
    if progress.state.is_final():
        return []
    done_counts = [0] * len(submission.steps)
    for index, step_progress in enumerate(progress.occurrences.get(0, ())):
        done_counts[index] = len(step_progress.done)
    units = []
    for index, step in enumerate(submission.steps):
        if done_counts[index] >= step.count:
            continue
        if any(
            done_counts[former] < submission.steps[former].count
            for former in step.after
        ):
            continue
        units.append((step, step.count if step.gang else 1))
    return units


def measure_used_share(simulation, workers):
    """Return the share of the workers' capacity in use by what they run."""
    capacity = 0
    used = 0
    for _, worker in workers:
        capacity += free_room.count_core_equivalents(worker.capacity)
        used += free_room.count_core_equivalents(get_used(simulation, worker))
    return used / max(capacity, 1)


def get_used(simulation, worker):
    """Return what the runs on a worker reserve there."""
    used = work.Resources()
    for run in worker.running:
        step = simulation.submissions[run.item.job].steps[run.item.step]
        used = used.plus(step.get_reservation())
    return used


def has_ample_room(simulation, workers, step, count):
    """Return whether work items of a step find room several times over.

    :param count: number of work items that start together.
    """
    demand = step.get_reservation()
    needed = ROOM_FACTOR * count
    for instance, worker in workers:
        if worker.draining:
            continue
        if step.label and step.label not in instance.labels:
            continue
        free = worker.capacity.minus(get_used(simulation, worker))
        fits = work.count_fits(free, demand)
        needed -= min(fits, step.per_worker or fits)
    return needed <= 0
