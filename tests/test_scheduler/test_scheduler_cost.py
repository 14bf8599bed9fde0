"""Tests of the CPU time of decisions at the design size."""

import random
import time

import pytest

from damaskpin.model import job as jobs
from damaskpin.scheduler import decisions
from tests.test_scheduler import simulation

# Limit on one scheduler call in seconds: a longer call would block the event
# loop and delay a heartbeat.
MAX_CALL_SECONDS = 0.25

# Limit on the CPU time of all scheduler calls of a day, in seconds: 4.6% of a
# core.
MAX_DAY_SECONDS = 0.046 * simulation.DAY


@pytest.fixture
def full_simulation():
    """Return a simulation in which almost all accelerators are in use."""
    config = simulation.make_config()
    run = simulation.Simulation(config)
    run.run(
        simulation.make_day_of_jobs(config, 1200, 1, load=30.0), simulation.DAY
    )
    return run


def call_measured(run, function, *args):
    started_at = time.process_time()
    result = function(*args)
    duration = time.process_time() - started_at
    assert duration < MAX_CALL_SECONDS, (
        f'{function.__name__}: {duration:.3f} s'
    )
    return result


def decide_all(run, now):
    """Call decide() until no work is left, and measure each call.

    :returns: number of jobs placed.
    """
    placed = 0
    for _ in range(400):
        for decision in call_measured(run, run.scheduler.decide, now):
            run.carry_out(now, decision)
            placed += isinstance(decision, decisions.Place)
        wakeup = run.scheduler.next_wakeup(now)
        if wakeup is None or wakeup > now:
            return placed
    raise AssertionError('decide() had work left after 400 calls')


def make_burst(config, count):
    rng = random.Random(7)
    for index in range(count):
        spec = jobs.JobSpec(
            accelerators=rng.choice([1, 1, 1, 2, 4]),
            run_seconds=rng.uniform(10, 10000),
            priority=jobs.Priority(rng.choice([0, 1, 2, 3])),
        )
        account = config.accounts[index % 37].name
        yield jobs.Job(f'b{index}', account, spec)


def test_burst_and_mass_cancellation_keep_calls_short_on_empty_cells():
    """Guards against one decide() call that places a whole burst of jobs."""
    config = simulation.make_config()
    run = simulation.Simulation(config)
    for worker in simulation.make_workers(config):
        call_measured(run, run.scheduler.set_worker, 0.0, worker)
    decide_all(run, 0.0)
    burst = list(make_burst(config, 2000))
    for job in burst:
        assert call_measured(run, run.scheduler.submit, 1.0, job) is None
        run.submitted_jobs[job.id] = (1.0, job)
        run.remaining_seconds[job.id] = 100.0
    assert decide_all(run, 1.0) > 1000
    cancelled_jobs = burst[:1000]
    started_at = time.process_time()
    for job in cancelled_jobs:
        call_measured(run, run.scheduler.cancel, 2.0, job.id)
        outcome = decisions.Outcome(decisions.Result.CANCELLED)
        call_measured(run, run.scheduler.finished, 2.5, job.id, outcome)
    assert time.process_time() - started_at < 1.0
    decide_all(run, 2.5)


def test_burst_keeps_calls_short_on_full_cells(full_simulation):
    """Guards against a search of all cells for each of many waiting jobs."""
    for job in make_burst(full_simulation.config, 2000):
        call_measured(
            full_simulation,
            full_simulation.scheduler.submit,
            simulation.DAY,
            job,
        )
        full_simulation.submitted_jobs[job.id] = (simulation.DAY, job)
        full_simulation.remaining_seconds[job.id] = 100.0
    decide_all(full_simulation, simulation.DAY)
    assert full_simulation.longest_call < MAX_CALL_SECONDS
    assert full_simulation.cpu_seconds < MAX_DAY_SECONDS


def test_failed_rack_keeps_calls_short(full_simulation):
    """Guards against rebinding all guaranteed shapes in one call."""
    names = [f'd1-k3-{index}' for index in range(5)]
    for name in names:
        call_measured(
            full_simulation,
            full_simulation.scheduler.remove_worker,
            simulation.DAY,
            name,
        )
    decide_all(full_simulation, simulation.DAY)
    for worker in simulation.make_workers(full_simulation.config):
        call_measured(
            full_simulation,
            full_simulation.scheduler.set_worker,
            simulation.DAY,
            worker,
        )
    decide_all(full_simulation, simulation.DAY)
