"""Reasons for which a job waits, as the books of the coordinator tell."""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from damaskpin.coordinator import crashes
from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import pass_trace
from damaskpin.coordinator import run_stages
from damaskpin.coordinator import worker_obstacles
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import due_steps
    from damaskpin.coordinator import free_room
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

    Placements = list[tuple[worker_state.Worker, placed_run.PlacedRun]]

# Age in seconds from which the latest placement pass counts as missing.
MAX_PASS_AGE_S = 2.0

# Number of workers and of runs that a line tells, so that it stays short.
MAX_LOGGED_WORKERS = 8
MAX_LOGGED_RUNS = 10


class Reason(enum.StrEnum):
    """Reasons besides the stages of runs and the obstacles on workers."""

    NOBODY_DECIDES = 'nobody decides'
    NOT_IN_BOOKS = 'job not in the books'
    BOOKS_BEHIND = 'books lack stored progress'
    NOT_STORED = 'progress not stored'
    NO_PASS = 'no placement pass'
    NOT_IN_PASS = 'unit not in the last pass'
    SHELTER = 'crash shelter'
    SKIPPED = 'step given up in the pass'
    OWN_RESERVATION = 'waits for reserved capacity'
    UNKNOWN = 'no obstacle known'


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A job that waits.

    :ivar due: step of which no work item runs.
    :ivar workers: workers with room for a work item, by their own lists.
    """

    due: due_steps.DueStep
    workers: list[free_room.FreeWorker]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Why a job waits.

    :ivar fields: what the books tell about it, for the log.
    """

    reason: str
    fields: dict[str, object]

    def mark_undecided(self) -> Explanation:
        """Return the explanation for a coordinator without a valid lease."""
        fields = {**self.fields, 'by_books': self.reason}
        return Explanation(Reason.NOBODY_DECIDES.value, fields)


NOBODY_DECIDES = Explanation(Reason.NOBODY_DECIDES.value, {})


def explain(
    now: float,
    wall: float,
    ledger: ledgers.RunLedger,
    questions: list[Question],
) -> list[Explanation]:
    """Return why each of some jobs waits.

    :param now: steady time in seconds.
    :param wall: Unix time in seconds.
    """
    placements: dict[str, Placements] = {
        question.due.submission.id: [] for question in questions
    }
    for worker in ledger.workers.values():
        for placed in worker.runs.values():
            known = placements.get(placed.run.item.job)
            if known is not None:
                known.append((worker, placed))
    limit = idle_limit.IdleLimit(now, ledger)
    explanations = []
    for question in questions:
        placed_runs = placements[question.due.submission.id]
        reason, fields = _explain_one(
            now, ledger, limit, question, placed_runs
        )
        fields['used_share_books'] = round(
            idle_limit.measure_used_share(now, ledger, question.due.service),
            3,
        )
        fields['last_pass'] = _describe_pass_age(now, ledger)
        fields['agents'] = _count_agents(now, ledger)
        fields['runs'] = [
            run_stages.describe_run(now, worker, placed)
            for worker, placed in placed_runs[:MAX_LOGGED_RUNS]
        ]
        explanations.append(Explanation(reason, fields))
    return explanations


def _explain_one(
    now: float,
    ledger: ledgers.RunLedger,
    limit: idle_limit.IdleLimit,
    question: Question,
    placements: Placements,
) -> tuple[str, dict[str, object]]:
    due = question.due
    job = ledger.jobs.get(due.submission.id)
    if job is None:
        return Reason.NOT_IN_BOOKS.value, {}
    if job.is_final() or job.cancelled or not _is_due_in_books(job, due):
        return _explain_difference(job), {}
    if now - ledger.pass_trace.time > MAX_PASS_AGE_S:
        return Reason.NO_PASS.value, {}
    unit = find_ready_unit(job, due, now)
    if unit is None:
        return _explain_blocking(now, job, due, placements), {}
    return _explain_unit(now, ledger, limit, question, unit)


def _is_due_in_books(job: jobs.Job, due: due_steps.DueStep) -> bool:
    """Return whether a step that is due by the store is so in the books."""
    if due.occurrence in job.progress.finished:
        return False
    steps = job.progress.occurrences.get(due.occurrence)
    if steps is None:
        return not due.step.after
    if set(due.indexes) <= steps[due.step_index].done:
        return False
    return all(
        len(steps[after].done) >= due.submission.steps[after].count
        for after in due.step.after
    )


def _explain_difference(job: jobs.Job) -> str:
    """Return why the books differ from the store about a job."""
    if job.has_unstored_changes():
        return Reason.NOT_STORED.value
    return Reason.BOOKS_BEHIND.value


def find_ready_unit(
    job: jobs.Job, due: due_steps.DueStep, now: float
) -> jobs.Unit | None:
    """Return the first unit of a step that the books count as ready."""
    steps = job.progress.occurrences.get(due.occurrence)
    active: set[int] = set()
    done: set[int] = set()
    if steps is not None:
        active = {run.index for run in steps[due.step_index].active}
        done = steps[due.step_index].done
    groups = [(index,) for index in due.indexes if index not in done]
    if due.step.gang:
        groups = [tuple(range(due.step.count))]
    for indexes in groups:
        if not active.isdisjoint(indexes) or job.unrecorded.holds_back(
            due.occurrence, due.step_index, indexes
        ):
            continue
        slot = 0 if due.step.gang else indexes[0]
        ready_since = job.get_ready_since(due.occurrence, due.step_index, slot)
        return jobs.Unit(
            job,
            due.occurrence,
            due.step_index,
            due.step,
            indexes,
            slot,
            now if ready_since is None else ready_since,
        )
    return None


def _explain_blocking(
    now: float,
    job: jobs.Job,
    due: due_steps.DueStep,
    placements: Placements,
) -> str:
    """Return the stage of the runs that keep all units from being ready.

    The stage of most of them is told, the earliest placed of equal ones.
    """
    stages = collections.Counter(
        run_stages.find_stage(now, worker, placed)
        for worker, placed in placements
        if placed.run.item.occurrence == due.occurrence
        and placed.run.item.step == due.step_index
    )
    if not stages:
        return run_stages.Stage.NO_WORKER.value
    return stages.most_common(1)[0][0].value


def _explain_unit(
    now: float,
    ledger: ledgers.RunLedger,
    limit: idle_limit.IdleLimit,
    question: Question,
    unit: jobs.Unit,
) -> tuple[str, dict[str, object]]:
    """Return why a unit waits that the books count as ready."""
    outcome = ledger.pass_trace.outcomes.get(unit.get_key())
    is_held_back = crashes.is_held_back(now, ledger, unit, limit)
    obstacles = {
        room.profile.lifetime: worker_obstacles.find_obstacle(
            now, ledger, ledger.workers.get(room.profile.lifetime), unit
        )
        for room in question.workers
    }
    reserved = next(
        (
            reservation
            for reservations in ledger.pass_trace.reservations.values()
            for reservation in reservations
            if reservation.unit == unit.get_key()
        ),
        None,
    )
    fields: dict[str, object] = {
        'slot': unit.slot,
        'items': len(unit.indexes),
        'ready': round(now - unit.ready_since, 3),
        'suspect': unit.is_suspect(),
        'in_pass': 'held back' if is_held_back else str(outcome or 'not seen'),
        'workers': {
            room.profile.lifetime.worker: worker_obstacles.describe_worker(
                now, ledger, room, unit
            )
            for room in question.workers[:MAX_LOGGED_WORKERS]
        },
        'workers_with_room': len(question.workers),
    }
    if reserved is not None:
        fields['own_reservation'] = worker_obstacles.describe_reservation(
            now, reservation=reserved
        )
    if is_held_back:
        return Reason.SHELTER.value, fields
    if outcome is None:
        return Reason.NOT_IN_PASS.value, fields
    reason = _choose_obstacle(ledger, unit, obstacles)
    if reason is not None:
        return reason.value, fields
    if outcome is pass_trace.Outcome.SKIPPED:
        return Reason.SKIPPED.value, fields
    if reserved is not None:
        return Reason.OWN_RESERVATION.value, fields
    return Reason.UNKNOWN.value, fields


def _choose_obstacle(
    ledger: ledgers.RunLedger,
    unit: jobs.Unit,
    obstacles: dict[work.Lifetime, worker_obstacles.Obstacle],
) -> worker_obstacles.Obstacle | None:
    """Return the obstacle on most workers; ``None`` if enough are free."""
    counts = collections.Counter(obstacles.values())
    if not counts.pop(worker_obstacles.Obstacle.NONE, 0):
        return counts.most_common(1)[0][0]
    needed = len(unit.indexes)
    demand = unit.step.get_reservation()
    for lifetime, obstacle in obstacles.items():
        if obstacle is worker_obstacles.Obstacle.NONE:
            free = ledger.workers[lifetime].free_capacity
            needed -= work.count_fits(free, demand)
    if needed <= 0 or not counts:
        return None
    return counts.most_common(1)[0][0]


def _describe_pass_age(now: float, ledger: ledgers.RunLedger) -> float | None:
    """Return the seconds since the latest pass; ``None`` without one."""
    trace = ledger.pass_trace
    return round(now - trace.time, 3) if trace.time >= 0 else None


def _count_agents(now: float, ledger: ledgers.RunLedger) -> dict[str, int]:
    """Return how many workers the books have and how many are reported."""
    workers = ledger.workers.values()
    reporting = sum(worker.is_reporting(now) for worker in workers)
    return {'known': len(ledger.workers), 'reporting': reporting}
