"""Tests of work beside workers that crash for reasons of their own."""

from __future__ import annotations

import collections

import pytest

from damaskpin.agent import calls
from damaskpin.model import work
from tests.test_coordinator import gang_members
from tests.test_coordinator import simulation as simulations

DEMAND = work.Resources(800, 500, 0)
INSTANCES = 8
WAVES = 8
# Seconds between two waves of crashes, which is longer than an agent takes to
# report a crash, so that work starts anew before the next wave.
WAVE_INTERVAL_S = 3.0
# Time in seconds after which a run may end, and share of those that do so in a
# step of 0.1 s.
MIN_RUN_S = 2.0
END_SHARE = 0.05
# A work item may not be started three times more after three crashes.
MAX_STARTS = 5

# Share of crashes, share of late calls and seed of each play. The last row has
# plays that have broken a promise with late start calls.
PLAYS = [
    *((0.1, 0.0, seed) for seed in range(12)),
    *((0.4, 0.0, seed) for seed in range(12)),
    *((0.4, 0.5, seed) for seed in range(12)),
    *((0.4, 0.5, seed) for seed in (48, 58, 76, 89, 92, 98, 168)),
]
# The same for plays with killers, with whether these let their starts be
# answered.
KILLER_PLAYS = [
    *((0.0, 0.0, True, seed) for seed in range(4)),
    *((0.0, 0.0, False, seed) for seed in range(4)),
    *((0.1, 0.0, True, seed) for seed in range(4)),
    *((0.1, 0.0, False, seed) for seed in range(4)),
    *((0.4, 0.5, True, seed) for seed in range(4)),
    *((0.4, 0.5, False, seed) for seed in range(4)),
    *((0.4, 0.5, True, seed) for seed in (19, 27, 39, 42, 58, 65, 73)),
    *((0.4, 0.5, False, seed) for seed in (4, 21, 25, 34)),
]


class ChanceSimulation(simulations.Simulation):
    """Simulation whose workers crash by chance, and whose runs end.

    :ivar answers_killers: whether a worker answers the start call of work that
        crashes it.
    :ivar crashes_by_item: number of workers that crashed while they ran each
        work item.
    """

    def __init__(self, seed, crash_share, delay_rate):
        self.crashes_by_item = collections.Counter()
        super().__init__(seed, instances=INSTANCES)
        self.crash_share = crash_share
        self.wave_delay_rate = delay_rate
        self.answers_killers = True

    def restart_worker(self, instance):
        if instance.worker is not None:
            self.crashes_by_item.update(
                run.item for run in instance.worker.running
            )
        super().restart_worker(instance)

    def submit_job(self):
        """Submit a job; half of the jobs are gangs of two or four."""
        index = len(self.submissions)
        step = work.Step(
            count=1 + index % 4,
            demand=DEMAND,
            estimate=3.0,
            gang=bool(index % 2),
            checkpoints=bool(index % 3),
        )
        self.submit((step,))

    def submit_killer(self):
        """Submit a job whose work items crash each worker."""
        self.crashing_jobs.add(f'{len(self.submissions):016x}')
        self.submit_job()

    def play_waves(self):
        self.delay_rate = self.wave_delay_rate
        for _ in range(WAVES):
            self.submit_job()
            self.submit_job()
            for _ in range(int(WAVE_INTERVAL_S / simulations.TICK_S)):
                self.run(simulations.TICK_S)
                self._end_old_runs()
            for instance in self.instances:
                if self.random.random() < self.crash_share:
                    self.restart_worker(instance)

    def list_incomplete(self):
        return [
            (job.id, job.progress.reason)
            for job in self.coordinator.jobs.values()
            if job.progress.state is not work.JobState.COMPLETED
        ]

    def get_most_crashes(self, job_id):
        """Return the most workers that crashed under a work item of a job."""
        return max(
            count
            for item, count in self.crashes_by_item.items()
            if item.job == job_id
        )

    def _end_old_runs(self):
        for instance in self.instances:
            for run, active in list(instance.worker.running.items()):
                if run not in instance.worker.running:
                    continue
                if self.now - active.began < MIN_RUN_S:
                    continue
                if self.random.random() >= END_SHARE:
                    continue
                if gang_members.is_complete(self, run):
                    instance.worker.finish(run, work.Ending.DONE)
                    gang_members.finish_members(self, run)

    def _send(self, instance, call):
        result = super()._send(instance, call)
        if not isinstance(call, calls.StartCall) or self.answers_killers:
            return result
        if call.order.run.item.job in self.crashing_jobs:
            return calls.Unanswered('connection broken')
        return result


@pytest.mark.parametrize(('crash_share', 'delay_rate', 'seed'), PLAYS)
def test_chance_crashes_end_no_job(crash_share, delay_rate, seed):
    """Guards against giving up work for crashes that it did not cause."""
    simulation = ChanceSimulation(seed, crash_share, delay_rate)
    simulation.play_waves()
    simulation.heal_and_finish()
    assert simulation.list_incomplete() == []


@pytest.mark.parametrize(
    ('crash_share', 'delay_rate', 'answers', 'seed'), KILLER_PLAYS
)
def test_killers_are_given_up_among_chance_crashes(
    crash_share, delay_rate, answers, seed
):
    """Guards against a killer that chance crashes or lost answers excuse."""
    simulation = ChanceSimulation(seed, crash_share, delay_rate)
    simulation.answers_killers = answers
    for _ in range(3):
        simulation.submit_killer()
    simulation.play_waves()
    simulation.heal_and_finish()
    simulation.run(40.0)
    failed = {job_id for job_id, _ in simulation.list_incomplete()}
    assert simulation.crashing_jobs <= failed
    # Beside killers, another job may be given up only by the users' rule: two
    # workers have crashed under one of its work items.
    for job_id in failed:
        assert simulation.get_most_crashes(job_id) >= 2
    starts = {
        item: count
        for item, count in simulation.starts_by_item.items()
        if item.job in simulation.crashing_jobs
    }
    assert max(starts.values()) <= MAX_STARTS
