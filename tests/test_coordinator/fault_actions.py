"""Actions of random plays that bring about faults of the fault table."""

from __future__ import annotations

from tests.test_coordinator import disturbances
from tests.test_coordinator import gang_failures
from tests.test_coordinator import waiting_actions

# Time in seconds that a smaller worker takes to start.
START_TIMES = (0.05, 0.3, 1.0)


def act(rng, simulation, instance, fault):
    """Bring about a fault, or change its rate.

    :param fault: name of the fault.
    """
    match fault:
        case gang_failures.FAULT:
            gang_failures.act(rng, simulation)
        case 'hidden births':
            worker = instance.worker
            worker.tells_birth = not worker.tells_birth
        case 'late leaves':
            delay = rng.uniform(0.5, disturbances.MAX_MESSAGE_DELAY_S)
            simulation.processes.leave_unheard(instance, delay)
        case 'lost heartbeats':
            simulation.processes.lost_heartbeat_rate = rng.choice(
                disturbances.RATES
            )
        case 'lost leaves':
            simulation.processes.leave_unheard(instance, None)
        case 'reset connections':
            instance.reset_connections()
        case 'smaller workers that start':
            simulation.processes.shrink(instance, rng.choice(START_TIMES))
        case _ if fault in waiting_actions.ACTIONS:
            waiting_actions.act(rng, simulation, instance, fault)
        case _:
            rate = rng.choice(disturbances.RATES)
            simulation.disturbances.set_rate(fault, rate)
