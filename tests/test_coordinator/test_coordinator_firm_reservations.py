"""Tests of idle work beside capacity that is reserved for a guarantee."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import idle_limit
from tests.test_coordinator import builders

NOW = builders.NOW

TICK_S = 0.25
# Time in seconds within which guaranteed work has to start.
RECLAIM_S = 2.9
GUARANTEE = 48
# Time in seconds at which the guaranteed gang is submitted.
STARTED = NOW + 2 * idle_limit.MIN_AGE_S


class _Scene:
    """Idle workers but one, on which a run that is preempted does not end.

    A guaranteed gang needs all of them. Jobs of a lower rank have been idle
    for long, as all workers were silent until then.
    """

    def __init__(self):
        self.ledger = builders.make_ledger(workers=6)
        step = builders.make_step(accelerators=4, estimate=100.0)
        self.running = builders.submit(self.ledger, 'running', step)
        builders.decide(self.ledger)
        self.list_runs(NOW)
        for worker in self.ledger.workers.values():
            worker.silence = 1.0
        step = builders.make_step(accelerators=1, estimate=100.0)
        self.small_jobs = [
            builders.submit(self.ledger, f'small-{index}', step, priority=2)
            for index in range(2)
        ]
        builders.decide(self.ledger, NOW + 1.0)
        for worker in self.ledger.workers.values():
            worker.silence = 0.0
        step = builders.make_step(6, accelerators=8, gang=True, estimate=20.0)
        self.gang = builders.submit(
            self.ledger, 'gang', step, priority=0, now=STARTED
        )
        self.now = STARTED

    def list_runs(self, now):
        """List all runs as running on their workers."""
        builders.report_all_runs_begun(self.ledger, now)

    def decide(self):
        """Let time pass until the next placement pass."""
        builders.decide(self.ledger, self.now, guarantee=GUARANTEE)
        self.list_runs(self.now)
        self.now += TICK_S

    def end_stopped(self):
        """Remove the runs that are to be stopped, as their end is listed."""
        for worker in self.ledger.workers.values():
            for run, placed in list(worker.runs.items()):
                if placed.stop_reason:
                    worker.remove_run(run)
                    placed.job.remove_run(run)

    def count_small_jobs(self):
        """Return the number of small jobs that have a run."""
        return sum(
            bool(builders.list_runs(self.ledger, job))
            for job in self.small_jobs
        )

    def play_until(self, count):
        """Let time pass until so many small jobs have a run.

        :returns: seconds since the gang was submitted; ``None`` if they do not
            get one.
        """
        while self.now < STARTED + 60.0:
            self.decide()
            if self.count_small_jobs() >= count:
                return self.now - TICK_S - STARTED
        return None


def test_reservation_for_a_guarantee_holds_idle_work_for_a_limited_time():
    """Guards against idle workers that a guarantee reserves without end.

    The gang starts as soon as its capacity is free; a worker that is gone
    keeps the run that it has preempted.
    """
    scene = _Scene()
    waited = scene.play_until(1)
    assert waited is not None
    assert waited >= idle_limit.MAX_FIRM_DELAY_S
    assert waited <= RECLAIM_S + idle_limit.MAX_FIRM_DELAY_S


def test_guaranteed_work_is_put_off_by_one_unit_at_a_time():
    """Guards against guaranteed work that starves behind idle work."""
    scene = _Scene()
    first = scene.play_until(1)
    second = scene.play_until(2)
    assert second is not None
    assert second - first >= idle_limit.MAX_FIRM_DELAY_S


@pytest.mark.parametrize('seconds', [1.5, 2.0, 12.0])
def test_guaranteed_work_starts_soon_after_its_capacity_is_free(seconds):
    """Guards against a guarantee that is broken by idle work.

    Idle work that has taken a worker meanwhile is preempted.
    """
    scene = _Scene()
    while scene.now < STARTED + seconds:
        scene.decide()
    scene.end_stopped()
    freed = scene.now
    while len(builders.list_runs(scene.ledger, scene.gang)) < 6:
        assert scene.now - freed < RECLAIM_S
        scene.decide()
        if scene.now - freed >= 1.0:
            scene.end_stopped()
