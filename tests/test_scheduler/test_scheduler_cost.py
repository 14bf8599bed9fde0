"""Cost of decisions at design size."""

import random
import time

import pytest

from damaskpin.model import job as jobs
from damaskpin.scheduler import decisions
from tests.test_scheduler import simulation

# A heartbeat would be late if a decision blocked the event loop for longer.
MAX_CALL_SECONDS = 0.25

# 4.6% of a core over a day.
MAX_DAY_SECONDS = 0.046 * simulation.DAY


@pytest.fixture
def full():
    """Return a simulation whose cells are full."""
    config = simulation.make_config()
    run = simulation.Simulation(config)
    run.run(simulation.make_day(config, 1200, 1, load=30.0), simulation.DAY)
    return run


def measure(run, function, *args):
    begin = time.process_time()
    result = function(*args)
    spent = time.process_time() - begin
    assert spent < MAX_CALL_SECONDS, f'{function.__name__}: {spent:.3f} s'
    return result


def drain(run, now):
    """Decide until no work is left; each call is measured."""
    placed = 0
    for _ in range(400):
        for decision in measure(run, run.scheduler.decide, now):
            run.carry_out(now, decision)
            placed += isinstance(decision, decisions.Place)
        wakeup = run.scheduler.next_wakeup(now)
        if wakeup is None or wakeup > now:
            return placed
    raise AssertionError('decide never runs out of work')


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


def test_burst_and_cancellation_wave_block_no_call_on_empty_cells():
    """Guards against one call that handles a whole burst."""
    config = simulation.make_config()
    run = simulation.Simulation(config)
    for worker in simulation.make_workers(config):
        measure(run, run.scheduler.set_worker, 0.0, worker)
    drain(run, 0.0)
    burst = list(make_burst(config, 2000))
    for job in burst:
        assert measure(run, run.scheduler.submit, 1.0, job) is None
        run.info[job.id] = (1.0, job)
        run.left[job.id] = 100.0
    assert drain(run, 1.0) > 1000
    wave = burst[:1000]
    begin = time.process_time()
    for job in wave:
        measure(run, run.scheduler.cancel, 2.0, job.id)
        outcome = decisions.Outcome(decisions.Result.CANCELLED)
        measure(run, run.scheduler.finished, 2.5, job.id, outcome)
    assert time.process_time() - begin < 1.0
    drain(run, 2.5)


def test_burst_blocks_no_call_on_full_cells(full):
    """Guards against searches that repeat for each waiting job."""
    for job in make_burst(full.config, 2000):
        measure(full, full.scheduler.submit, simulation.DAY, job)
        full.info[job.id] = (simulation.DAY, job)
        full.left[job.id] = 100.0
    drain(full, simulation.DAY)
    assert full.longest < MAX_CALL_SECONDS
    assert full.cpu < MAX_DAY_SECONDS


def test_failed_rack_blocks_no_call(full):
    """Guards against binding all guarantees anew in one call."""
    names = [f'd1-k3-{index}' for index in range(5)]
    for name in names:
        measure(full, full.scheduler.remove_worker, simulation.DAY, name)
    drain(full, simulation.DAY)
    for worker in simulation.make_workers(full.config):
        measure(full, full.scheduler.set_worker, simulation.DAY, worker)
    drain(full, simulation.DAY)
