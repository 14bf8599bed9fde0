"""Runs of gangs in which several members fail."""

from __future__ import annotations

import collections

from damaskpin.model import work

FAULT = 'failing gangs'
# Longest times in seconds from the first failure of a run to that of another
# member, and to the time at which a member learns of it and breaks off.
MAX_FAILURE_DELAY_S = 3.0
MAX_NEWS_DELAY_S = 2.0
# Share of the runs whose members all fail at the same moment, and of the other
# members that live on.
TOGETHER_SHARE = 0.5
SURVIVOR_SHARE = 0.3
# Gangs that are submitted while none runs; a member fits on each worker.
COUNTS = (2, 3)
ATTEMPTS = (2, 2, 3)
DEMAND = work.Resources(1000, 500, 1)


def act(rng, simulation):
    """Let several members of one run of a gang fail on their workers.

    Without a gang of which two members run, one is submitted.
    """
    gangs = _list_gangs(simulation)
    if not gangs:
        step = work.Step(
            count=rng.choice(COUNTS), demand=DEMAND, estimate=3.0, gang=True
        )
        simulation.submit((step,), attempts=rng.choice(ATTEMPTS))
        return
    members = rng.choice(gangs)
    rng.shuffle(members)
    failing = rng.randint(2, len(members))
    is_together = rng.random() < TOGETHER_SHARE
    for index, (worker, run) in enumerate(members):
        delay = 0.0
        ending = work.Ending.FAILED
        if index >= failing:
            if rng.random() < SURVIVOR_SHARE:
                continue
            delay = rng.uniform(0.0, MAX_NEWS_DELAY_S)
            ending = work.Ending.BROKEN
        elif index and not is_together:
            delay = rng.uniform(0.0, MAX_FAILURE_DELAY_S)
        _end_later(simulation, worker, run, ending, delay)


def _list_gangs(simulation):
    """Return the workers and runs of each gang with two running members."""
    gangs = collections.defaultdict(list)
    for instance in simulation.instances:
        for run in instance.worker.running:
            step = simulation.submissions[run.item.job].steps[run.item.step]
            if step.gang:
                gangs[run.get_gang_run()].append((instance.worker, run))
    return [members for members in gangs.values() if len(members) > 1]


def _end_later(simulation, worker, run, ending, delay):
    """End a run after a delay in seconds unless it has ended by then."""

    def end():
        if run in worker.running:
            worker.finish(run, ending)

    if delay:
        simulation.schedule(delay, end)
        return
    end()
