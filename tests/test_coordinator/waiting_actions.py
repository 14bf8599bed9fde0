"""Actions of random plays that may keep work from starting.

Plays with one of these have more workers, in two racks and some with a label,
so that idle workers remain beside those that are disturbed.
"""

from __future__ import annotations

import math

from damaskpin.model import work

INSTANCES = 6
USUAL_INSTANCES = 3
# Fewest instances that remain, so that each gang but the widest has room.
MIN_INSTANCES = 3
RACKS = ('r1', 'r2')
LABEL = 'ssd'
# Interval of the instances with the label; each rack has one of them.
LABEL_INTERVAL = 3

# Time in seconds that a run lasts after the last fault. Other plays have
# shorter runs, which end before a start on an idle worker is late.
RUN_S = 2.0
# Time in seconds after the last fault at which the widest gangs, for which
# there may not be enough workers, are cancelled.
CANCEL_S = 25.0
# Shortest and longest time in seconds of an outage, and until a worker that
# was restarted is lost.
OUTAGE_S = (2.0, 15.0)
LOSS_DELAY_S = (0.3, 4.0)

SMALL = work.Resources(1000, 500, 1)
WHOLE = work.Resources(4000, 500, 0)

# Jobs of many steps that are submitted just before the last fault is over, and
# their steps: the last ones begin after the limit on waits is in force.
LAST_JOBS = 3
LAST_STEPS = 8

OUTAGES = {
    'start outages': 'lost start calls',
    'stop outages': 'lost stop calls',
    'store outages': 'lost store writes',
}
ACTIONS = (
    *OUTAGES,
    'chains',
    'chance crashes',
    'crashing work',
    'data racks',
    'lost instances',
    'lost racks',
    'restarts before loss',
    'wide gangs',
)


def count_instances(faults):
    """Return the number of instances of a play with these faults."""
    return INSTANCES if is_any_here(faults) else USUAL_INSTANCES


def is_any_here(faults):
    """Return whether one of the faults is an action of this module."""
    return any(fault in ACTIONS for fault in faults)


def prepare(simulation, faults):
    """Set the racks, the labels and the time that runs last."""
    if not is_any_here(faults):
        return
    simulation.run_s = RUN_S
    for index, instance in enumerate(simulation.instances):
        instance.rack = RACKS[index % len(RACKS)]
        instance.labels = ('a', instance.rack)
        if index % LABEL_INTERVAL == 0:
            instance.labels += (LABEL,)


def submit_last(simulation, faults):
    """Submit jobs that go on after the last fault, for as long as needed."""
    if not is_any_here(faults):
        return
    for job_id, submission in list(simulation.submissions.items()):
        if submission.steps[0].count == INSTANCES:
            _schedule_cancellation(simulation, job_id)
    for _ in range(LAST_JOBS):
        simulation.submit(make_chain(simulation.random, LAST_STEPS))


def act(rng, simulation, instance, action):
    """Bring about what may keep work from starting."""
    match action:
        case 'chains':
            simulation.submit(make_chain(rng, rng.randint(2, LAST_STEPS)))
        case 'chance crashes':
            for other in simulation.instances:
                if rng.random() < 0.4:
                    simulation.restart_worker(other)
        case 'crashing work':
            simulation.crashing_jobs.add(f'{len(simulation.submissions):016x}')
            simulation.submit((work.Step(count=1, demand=SMALL, estimate=3),))
        case 'data racks':
            simulation.submit(make_placed_steps(rng))
        case 'lost instances':
            lose(simulation, [instance])
        case 'lost racks':
            lose(
                simulation,
                [i for i in simulation.instances if i.rack == instance.rack],
            )
        case 'restarts before loss':
            restart_and_lose(rng, simulation, instance)
        case 'wide gangs':
            step = work.Step(
                count=INSTANCES, demand=WHOLE, estimate=3.0, gang=True
            )
            simulation.submit((step,))
        case _:
            begin_outage(rng, simulation, OUTAGES[action])


def make_chain(rng, count):
    """Return steps that follow each other.

    :param count: number of steps.
    """
    return tuple(
        work.Step(
            count=rng.randint(1, 3),
            demand=SMALL,
            estimate=rng.choice([0.5, 3.0]),
            after=(index - 1,) if index else (),
            gang=rng.random() < 0.3,
        )
        for index in range(count)
    )


def make_placed_steps(rng):
    """Return a step that is not as well, or not at all, on any worker."""
    count = rng.randint(1, 3)
    return (
        work.Step(
            count=count,
            demand=SMALL,
            estimate=rng.choice([3.0, 15.0]),
            gang=rng.random() < 0.3,
            same_rack=rng.random() < 0.5,
            data_rack=rng.choice(('', *RACKS)),
            label=rng.choice(('', '', LABEL)),
            per_worker=rng.choice((0, 1)) if count == 1 else 0,
        ),
    )


def lose(simulation, instances):
    """Lose machines with their workers and agents for good.

    Nothing is lost if too few machines would remain, or none with the label.
    """
    remaining = [i for i in simulation.instances if i not in instances]
    if len(remaining) < MIN_INSTANCES or not any(
        LABEL in instance.labels for instance in remaining
    ):
        return
    if any(instance.worker.draining for instance in instances):
        # A worker that leaves comes back on its own.
        return
    for instance in instances:
        instance.worker.crash()
        instance.disconnected = True
        instance.down_until = math.inf
        instance.frozen_until = math.inf
    simulation.instances[:] = remaining


def restart(simulation, instance):
    """Restart a worker with its id."""
    name = instance.worker.lifetime.worker
    instance.worker.crash()
    instance.down_until = simulation.now + simulation.start_time
    simulation.processes.start(instance, name, simulation.capacity)


def restart_and_lose(rng, simulation, instance):
    """Restart a worker with its id, and lose its machine soon after."""
    restart(simulation, instance)
    worker = instance.worker

    def lose_restarted():
        is_healed = simulation.idle_check is not None
        if instance.worker is worker and not is_healed:
            lose(simulation, [instance])

    simulation.schedule(rng.uniform(*LOSS_DELAY_S), lose_restarted)


def begin_outage(rng, simulation, fault):
    """Lose all calls or messages of a kind for some time."""
    disturbances = simulation.disturbances
    disturbances.set_rate(fault, 1.0)
    simulation.schedule(
        rng.uniform(*OUTAGE_S), lambda: disturbances.set_rate(fault, 0.0)
    )


def _schedule_cancellation(simulation, job_id):
    simulation.schedule(CANCEL_S, lambda: simulation.cancel(job_id))
