"""Members of gangs that workers of a simulation run."""

from __future__ import annotations

from damaskpin.model import work


def is_complete(simulation, run):
    """Return whether all members of a run's gang are running.

    :returns: ``True`` for a run that belongs to no gang.
    """
    step = _get_step(simulation, run)
    if not step.gang:
        return True
    present = sum(
        other.get_gang_run() == run.get_gang_run()
        for instance in simulation.instances
        for other in instance.worker.running
        if not instance.is_suspended(simulation.now)
    )
    return present == step.count


def finish_members(simulation, run):
    """Let the other members of a run's gang end well, if it has one."""
    if not _get_step(simulation, run).gang:
        return
    for instance in simulation.instances:
        for other in list(instance.worker.running):
            if other.get_gang_run() == run.get_gang_run():
                instance.worker.finish(other, work.Ending.DONE)


def _get_step(simulation, run):
    return simulation.submissions[run.item.job].steps[run.item.step]
