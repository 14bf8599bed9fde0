"""What keeps a worker with room from taking a waiting unit, for logs."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import candidates
from damaskpin.coordinator import crashes
from damaskpin.coordinator import refusals
from damaskpin.coordinator import run_stages

if TYPE_CHECKING:
    from damaskpin.coordinator import free_room
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import pass_trace
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work


class Obstacle(enum.StrEnum):
    """What keeps a worker from taking a unit."""

    NONE = 'free'
    NOT_KNOWN = 'not in the books'
    NO_PROFILE = 'no profile'
    LISTS_NOT_READ = 'lists not read'
    DRAINING = 'draining'
    SILENT = 'silent'
    AGENT_SILENT = 'agent silent'
    SUSPECT = 'suspect'
    PAUSED = 'paused'
    FULL = 'full by the books'
    NO_TICKET = 'no ticket'
    LIMIT = 'limit of the worker'
    PROBATION = 'probation'
    RESERVED = 'reserved'


def find_obstacle(
    now: float,
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker | None,
    unit: jobs.Unit,
) -> Obstacle:
    """Return what keeps a worker from taking one work item of a unit.

    :param now: steady time in seconds.
    :param worker: worker as the books have it; ``None`` if they lack it.
    """
    if worker is None:
        return Obstacle.NOT_KNOWN
    obstacle = _find_general_obstacle(now, worker)
    if obstacle is not Obstacle.NONE:
        return obstacle
    demand = unit.step.get_reservation()
    if not worker.free_capacity.can_fit(demand):
        return Obstacle.FULL
    if unit.job.submission.terms.advice is not None and not ledger.tickets.get(
        now, advice.make_step_key(unit), worker.lifetime
    ):
        return Obstacle.NO_TICKET
    if not candidates.may_run_another_item(unit, worker, {}):
        return Obstacle.LIMIT
    if not crashes.may_share_worker(now, unit.is_suspect(), worker):
        return Obstacle.PROBATION
    free = worker.free_capacity
    for reservation in list_reservations(ledger, worker, unit):
        free = free.minus(reservation.demand)
    return Obstacle.NONE if free.can_fit(demand) else Obstacle.RESERVED


def list_reservations(
    ledger: ledgers.RunLedger, worker: worker_state.Worker, unit: jobs.Unit
) -> list[pass_trace.TracedReservation]:
    """Return what the latest pass has reserved on a worker for other units."""
    reservations = ledger.pass_trace.reservations.get(worker.lifetime, ())
    key = unit.get_key()
    return [r for r in reservations if r.unit != key]


def describe_worker(
    now: float,
    ledger: ledgers.RunLedger,
    room: free_room.FreeWorker,
    unit: jobs.Unit,
) -> str:
    """Return the obstacle on a worker, with what the books have there.

    :param now: steady time in seconds.
    :param room: room on the worker by its own lists.
    """
    worker = ledger.workers.get(room.profile.lifetime)
    obstacle = find_obstacle(now, ledger, worker, unit)
    parts = [obstacle.value]
    if worker is None:
        return obstacle.value
    if obstacle is Obstacle.FULL:
        parts.extend(describe_difference(now, worker, room))
    parts.extend(
        describe_reservation(now, reservation)
        for reservation in list_reservations(ledger, worker, unit)
    )
    if worker.lifetime.worker in unit.job.avoided_workers.get(
        unit.get_key()[1:], ()
    ):
        parts.append('avoided')
    return '; '.join(parts)


def describe_difference(
    now: float, worker: worker_state.Worker, room: free_room.FreeWorker
) -> list[str]:
    """Return how the books of a worker differ from its lists.

    :param now: steady time in seconds.
    :returns: the free capacity of both, and the runs of the books that the
        worker does not list by their stage.
    """
    running = {row.run for row in room.running}
    stages = collections.Counter(
        run_stages.find_stage(now, worker, placed).value
        for run, placed in worker.runs.items()
        if run not in running
    )
    parts = [
        f'free by the books {describe_resources(worker.free_capacity)}',
        f'by the lists {describe_resources(room.free)}',
    ]
    parts.extend(f'{count} x {stage}' for stage, count in stages.items())
    return parts


def describe_resources(resources: work.Resources) -> str:
    """Return millicores, mebibytes and accelerators as text for the log."""
    return f'{resources.cpu}/{resources.memory}/{resources.accelerators}'


def describe_reservation(
    now: float, reservation: pass_trace.TracedReservation
) -> str:
    """Return a reservation as text for the log.

    :param now: steady time in seconds.
    """
    job_id, occurrence, step, slot = reservation.unit
    kind = 'firm' if reservation.is_firm else 'not firm'
    return (
        f'{kind} for {job_id}.{occurrence}.{step}.{slot},'
        f' start in {reservation.expected_start - now:.3f} s,'
        f' stands for {now - reservation.since:.3f} s'
    )


def _find_general_obstacle(
    now: float, worker: worker_state.Worker
) -> Obstacle:
    """Return what keeps a worker from taking any unit."""
    if worker.profile is None:
        return Obstacle.NO_PROFILE
    if not worker.has_run_lists:
        return Obstacle.LISTS_NOT_READ
    if worker.profile.draining:
        return Obstacle.DRAINING
    if worker.silence:
        return Obstacle.SILENT
    if not worker.is_reporting(now):
        return Obstacle.AGENT_SILENT
    if worker.suspect_until > now:
        return Obstacle.SUSPECT
    if worker.start_pause.is_active(now):
        return Obstacle.PAUSED
    if not refusals.may_take_unit(worker):
        return Obstacle.PAUSED
    return Obstacle.NONE
