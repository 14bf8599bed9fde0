"""Tests of the measurement of decision costs."""

import pytest

from bench import baselines
from bench import cost_driver
from bench import decision_cost
from bench import fleets


@pytest.mark.parametrize(
    ('workers', 'accelerators'), [(10, 80), (100, 240), (1500, 3600)]
)
def test_fleets_have_the_stated_sizes(workers, accelerators):
    # Costs measured at other sizes say nothing about the design size, which is
    # the largest of these.
    config = decision_cost._make_config(workers)
    made = fleets.make_workers(config)
    assert len({worker.name for worker in made}) == len(made) == workers
    assert sum(worker.accelerators for worker in made) == accelerators


def test_every_phase_measures_decisions():
    # A phase that handles no jobs would seem to cost nothing.
    cost = decision_cost.measure_fleet_cost(
        baselines.BestFitBackfill,
        10,
        task_count=600,
        burst_count=50,
        cancel_count=30,
        finish_count=20,
    )
    assert list(cost.phases) == ['fill', 'steady', 'burst', 'wave']
    assert cost.phases['steady'].calls == 20
    assert cost.running > 0
    assert cost.waiting > 30
    assert cost.memory > 0
    assert all(phase.settled for phase in cost.phases.values())
    for phase in cost.phases.values():
        assert 0 < phase.mean <= phase.longest <= phase.total


def test_scheduler_that_never_settles_is_reported():
    # A scheduler that reclaims and places the same job for ever must not hang
    # the measurement.
    class Endless(baselines.FirstFit):
        def decide(self, now):
            stops = [
                cost_driver.decisions.Reclaim(job_id, 0.0, 'test')
                for job_id in self._running
            ]
            return stops or super().decide(now)

    config = decision_cost._make_config(10)
    fill_jobs, _ = decision_cost._make_fill_and_burst_jobs(10, 0, 50, 10)
    driver = cost_driver.SchedulerDriver(Endless, config, 0)
    driver.submit(fill_jobs[0])
    driver.decide_until_settled()
    assert not driver.end_phase().settled


def test_day_counts_the_time_of_all_calls():
    # The share of a core is scaled from the 60 jobs of the trace to a day with
    # 1,900 jobs.
    day = decision_cost.measure_day_cost(baselines.FirstFit, jobs_count=60)
    assert day.calls > 60
    assert 0 < day.longest < day.processor
    expected = day.processor / 60 * 1900 / 86_400
    assert day.share == pytest.approx(expected)
