"""One pass over all waiting units: where each starts, what makes room."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import fleet
from damaskpin.coordinator import planning
from damaskpin.coordinator import ranking

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import advice
    from damaskpin.coordinator import book as books
    from damaskpin.coordinator import job as jobs

LOG = logging.getLogger(__name__)

# Waiting units of one rank for which room is kept free. More would leave too
# much idle while they wait.
MAX_KEPT = 2


class Pass:
    """State of one pass.

    :param guaranteed: jobs that draw on their account's guarantee.
    """

    __slots__ = (
        '_book',
        '_guaranteed',
        '_kept',
        '_now',
        '_planner',
        '_wall',
    )

    def __init__(
        self,
        now: float,
        wall: float,
        book: books.Book,
        guaranteed: set[str],
    ) -> None:
        self._now = now
        self._wall = wall
        self._book = book
        self._guaranteed = guaranteed
        self._kept: dict[int, int] = {}
        usable = [
            worker
            for worker in book.workers.values()
            if worker.is_usable(now) and worker.suspect_until <= now
        ]
        self._planner = planning.Planner(now, usable, book.tickets)

    def place(self, unit: jobs.Unit) -> bool:
        """Start a unit, make room for it or keep room for it.

        :returns: whether equal units are worth a try in this pass.
        """
        if not self._planner.has_near(unit):
            return self._place_among(unit, near=False)
        if self._try_now(unit, near=True):
            return True
        wait = self._planner.find_wait(unit, near=True)
        if wait is None or not ranking.is_worth_near(
            unit, wait.cost, self._now, self._guaranteed
        ):
            return self._place_among(unit, near=False)
        return self._keep_room(unit, wait)

    def _place_among(self, unit: jobs.Unit, near: bool) -> bool:
        if self._try_now(unit, near):
            return True
        return self._keep_room(unit, self._planner.find_wait(unit, near))

    def _try_now(self, unit: jobs.Unit, near: bool) -> bool:
        """Start a unit or have others stopped for it."""
        plan = self._planner.find_free(unit, near)
        if plan is not None:
            self._start(unit, plan)
            return True
        budget = ranking.get_stop_budget(
            unit, self._now, self._wall, self._guaranteed
        )
        if budget <= 0:
            return False
        plan = self._planner.find_stops(unit, near, self._may_stop)
        if plan is None or plan.cost > budget:
            return False
        if not self._await_room(unit, near, plan):
            self._make_room(unit, plan)
        return True

    def _await_room(
        self, unit: jobs.Unit, near: bool, stops: planning.Plan
    ) -> bool:
        """Hold room that becomes free soon instead of making it."""
        if not stops.victims:
            return False
        patience = ranking.get_patience(
            unit, self._now, self._wall, self._guaranteed
        )
        if patience <= 0:
            return False
        plan = self._planner.find_wait(unit, near)
        if plan is None or plan.cost > patience:
            return False
        self._planner.claim(unit, plan, self._now + plan.cost)
        return True

    def _start(self, unit: jobs.Unit, plan: planning.Plan) -> None:
        holders = [(w.lifetime, w.agent) for w in plan.workers]
        runs = unit.job.assign(unit, holders)
        self._book.counts['placed'] += len(runs)
        for run, worker in zip(runs, plan.workers, strict=True):
            worker.add_run(
                fleet.PlacedRun(
                    run,
                    unit.job,
                    unit.step,
                    unit.step.get_reserved(),
                    unit.job.progress.version,
                    False,
                    self._now,
                )
            )
        LOG.info(
            'placed',
            extra={
                'job': unit.job.id,
                'occurrence': unit.occurrence,
                'step': unit.step_index,
                'indexes': list(unit.indexes),
                'number': runs[0].number,
                'workers': [w.lifetime.worker for w in plan.workers],
                'waited': round(self._now - unit.ready_since, 3),
            },
        )

    def _make_room(self, unit: jobs.Unit, plan: planning.Plan) -> None:
        self._planner.claim(unit, plan, self._now)
        if not plan.victims:
            return
        LOG.info(
            'room is made',
            extra={
                'job': unit.job.id,
                'step': unit.step_index,
                'guaranteed': unit.job.id in self._guaranteed,
                'priority': unit.job.submission.terms.priority,
                'items': len(unit.indexes),
                'victims': len(plan.victims),
                'lost_core_seconds': round(plan.cost, 1),
                'waited': round(self._now - unit.ready_since, 3),
            },
        )
        for worker, victim in plan.victims:
            self._book.stop_run(worker, victim, f'room for {unit.job.id}')

    def _keep_room(self, unit: jobs.Unit, plan: planning.Plan | None) -> bool:
        """Keep small work from filling what a waiting unit needs."""
        rank = ranking.get_rank(unit.job, self._guaranteed)
        kept = self._kept.get(rank, 0)
        if plan is None or kept >= MAX_KEPT:
            return False
        self._kept[rank] = kept + 1
        self._planner.claim(unit, plan, self._now + plan.cost)
        return True

    def _may_stop(self, unit: jobs.Unit, placed: fleet.PlacedRun) -> bool:
        return ranking.may_stop(unit, placed, self._guaranteed)


def place_all(
    now: float,
    wall: float,
    book: books.Book,
    get_guarantee: Callable[[str], int],
) -> None:
    """Go over all units that are ready, in the order of their rank."""
    guaranteed = ranking.find_guaranteed(book.jobs.values(), get_guarantee)
    units = list_ready(now, wall, book, guaranteed)
    if not units:
        return
    current = Pass(now, wall, book, guaranteed)
    failed: set[tuple[str, int, int]] = set()
    for unit in units:
        key = unit.get_key()[:3]
        if key in failed:
            continue
        if not current.place(unit):
            failed.add(key)


def list_ready(
    now: float, wall: float, book: books.Book, guaranteed: set[str]
) -> list[jobs.Unit]:
    """Return the units that are ready, in the order of their rank."""
    units: list[jobs.Unit] = []
    for job in book.jobs.values():
        units.extend(job.iterate_ready(now, wall))
    units.sort(key=lambda unit: ranking.get_order(unit, wall, guaranteed))
    return units


def choose_question(
    now: float,
    wall: float,
    book: books.Book,
    get_guarantee: Callable[[str], int],
) -> advice.Question | None:
    """Return what the advisor is to be asked next."""
    if book.tickets.is_asking():
        return None
    advised = [
        job
        for job in book.jobs.values()
        if job.submission.terms.advice is not None and not job.is_final()
    ]
    if not advised:
        return None
    guaranteed = ranking.find_guaranteed(book.jobs.values(), get_guarantee)
    units = list_ready(now, wall, book, guaranteed)
    workers = [w for w in book.workers.values() if w.is_usable(now)]
    return book.tickets.choose_question(now, units, workers)
