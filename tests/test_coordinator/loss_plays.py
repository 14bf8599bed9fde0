"""Random plays of a busy fleet that loses all processes at once."""

from __future__ import annotations

import random

from damaskpin.model import work
from tests.test_coordinator import fleet_simulation
from tests.test_coordinator import random_plays
from tests.test_coordinator import waiting_actions

# Which processes are lost at once.
LOSSES = (
    'loss of all processes',
    'loss with new ids',
    'loss of agents and coordinator',
    'loss with workers that stay away',
    'loss with workers that are lost again',
)

# Seconds of traffic, and of faults after the loss.
TRAFFIC_S = 30.0
AFTER_LOSS_S = 12.0
# Times of the loss in seconds: amid the traffic, or near its end.
LOSS_TIMES_S = ((9.0, 16.0), (24.0, 29.0))
# Time in seconds of the burst of wide jobs, and the number of these.
BURST_S = 7.5
WIDE_JOBS = (1, 3)

WIDE = work.Resources(11_000, 33_000, 1)
SMALL = work.Resources(15_000, 61_000, 1)
# Work items of a step of a wide job, and seconds that each of them runs.
WIDE_COUNT = (10, 55)
WIDE_S = 15.0

LOWEST_PRIORITY = 2


def play(seed, mix, actions, has_each_fault=False, waits=random_plays.WAITS):
    """Play traffic with a loss of all processes, and wait for all jobs.

    :param mix: names of the faults; one is a loss.
    :param actions: not used: a play has traffic of a fixed time.
    :param has_each_fault: whether each fault is brought about once, just
        after the loss.
    :param waits: seconds of which one passes after each action.
    :raises AssertionError: the simulation has seen a broken promise.
    """
    rng = random.Random(seed)
    simulation = fleet_simulation.FleetSimulation(
        seed, random_plays.OVERLAPPING_CALLS in mix
    )
    simulation.late_calls_outlive_processes = (
        random_plays.OUTLIVING_CALLS in mix
    )
    (loss,) = {fault for fault in mix if fault in LOSSES}
    faults = [
        fault
        for fault in mix
        if fault not in (loss, random_plays.OUTLIVING_CALLS)
    ]
    begin = simulation.now
    loss_time = begin + rng.uniform(*rng.choice(LOSS_TIMES_S))
    simulation.schedule(BURST_S, lambda: submit_burst(rng, simulation))
    simulation.run(1.0)
    while simulation.now < begin + TRAFFIC_S:
        if simulation.now >= loss_time and simulation.hold_check is None:
            _lose_all(rng, simulation, loss, faults, has_each_fault)
        _act(rng, simulation, faults)
        simulation.run(min(rng.choice(waits), 2.0))
    if simulation.hold_check is None:
        _lose_all(rng, simulation, loss, faults, has_each_fault)
    while simulation.now < loss_time + AFTER_LOSS_S:
        _act(rng, simulation, faults, has_traffic=False)
        simulation.run(min(rng.choice(waits), 2.0))
    simulation.heal_and_finish()
    return simulation


def submit_burst(rng, simulation):
    """Submit wide jobs of the lowest priority."""
    for _ in range(rng.randint(*WIDE_JOBS)):
        simulation.submit(make_wide_steps(rng), priority=LOWEST_PRIORITY)


def make_wide_steps(rng):
    """Return two wide steps that follow each other."""
    data_rack = rng.choice(('', waiting_actions.RACKS[0]))
    return tuple(
        work.Step(
            count=rng.randint(*WIDE_COUNT),
            demand=WIDE,
            estimate=WIDE_S,
            after=(index - 1,) if index else (),
            checkpoints=rng.random() < 0.5,
            data_rack=data_rack,
        )
        for index in range(2)
    )


def _lose_all(rng, simulation, loss, faults, has_each_fault):
    simulation.lose_all(loss)
    if not has_each_fault:
        return
    for fault in sorted(set(faults)):
        simulation.run(0.5)
        random_plays.act(rng, simulation, faults, fault)


def _act(rng, simulation, faults, has_traffic=True):
    share = rng.random()
    if share < 0.35 and faults:
        random_plays.act(rng, simulation, faults, rng.choice(faults))
    elif not has_traffic:
        return
    elif share < 0.75:
        simulation.submit(_make_small_steps(rng), priority=rng.randrange(2))
    elif share < 0.8:
        job_id = f'{len(simulation.submissions):016x}'
        simulation.failing_jobs.add(job_id)
        simulation.submit(_make_small_steps(rng))


def _make_small_steps(rng):
    return (
        work.Step(
            count=rng.randint(1, 3),
            demand=SMALL,
            estimate=rng.choice([1.0, 2.5, 6.0]),
            checkpoints=rng.random() < 0.5,
            gang=rng.random() < 0.5,
        ),
    )
