"""What keeps the work of a waiting job, by the coordinator's books."""

from __future__ import annotations

from damaskpin.coordinator import crashes
from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import restarts
from damaskpin.coordinator import worker_obstacles


def find_cause(simulation, job_id):
    """Return what keeps the work of a job from running now."""
    coordinator = simulation.coordinator
    job = coordinator.jobs.get(job_id)
    if job is None:
        return 'not in the books'
    if job.is_final():
        return 'ended in the books'
    placed_cause = _find_placed_cause(simulation, job)
    if placed_cause:
        return placed_cause
    if list(job.iterate_active()):
        return 'active in its progress, on no worker of the books'
    ledger = coordinator._ledger
    now = simulation.now
    units = list(job.iterate_ready(now, simulation.get_wall()))
    if not units:
        return 'not ready by the books'
    unit = units[0]
    limit = idle_limit.IdleLimit(now, ledger)
    if crashes.is_held_back(now, ledger, unit, limit):
        reviewed = any(
            ledger.crash_watch.has_review(unit.get_item(index))
            for index in unit.indexes
        )
        return 'review of its crashes' if reviewed else 'shelter'
    return _find_waiting_cause(now, ledger, unit)


def _find_placed_cause(simulation, job):
    """Return the state of a run that the books have; empty for none."""
    living = {
        instance.worker.lifetime
        for instance in simulation.instances
        if simulation.now >= instance.down_until
    }
    for worker in simulation.coordinator.workers.values():
        for placed in worker.runs.values():
            if placed.job is not job:
                continue
            words = ['placed']
            if worker.lifetime not in living:
                words.append('on a worker that is gone')
            if worker.lease_extension:
                words.append('with an extended lease')
            if not worker.is_reporting(simulation.now):
                words.append('whose agent is silent')
            elif worker.silence:
                words.append('that is silent')
            if placed.stop_reason == restarts.RESTART_REASON:
                words.append('and of a former process')
            elif placed.stop_reason:
                words.append('and to be stopped')
            elif placed.version > job.stored_version:
                words.append('and not stored')
            elif not placed.confirmed:
                words.append('and not confirmed')
            return ' '.join(words)
    return ''


def _find_waiting_cause(now, ledger, unit):
    """Return what keeps the workers that have room for a unit."""
    obstacles = {
        worker_obstacles.find_obstacle(now, ledger, worker, unit)
        for worker in ledger.workers.values()
    }
    obstacles.discard(worker_obstacles.Obstacle.FULL)
    names = sorted(obstacle.value for obstacle in obstacles) or ['no room']
    kind = 'suspect' if unit.is_suspect() else 'ready'
    return f'{kind}, workers with room: {", ".join(names)}'
