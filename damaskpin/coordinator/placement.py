"""Search for workers that a unit can start on, with or without preemption."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import fleet
    from damaskpin.coordinator import job as jobs

# Core-seconds that one more stopped run counts, beside its unsaved work: its
# restart takes time too.
STOP_COST = 2.0

# Cores that an accelerator counts as, as the installation's prices have it.
CORES_PER_ACCELERATOR = 8


@dataclasses.dataclass(slots=True)
class Plan:
    """Workers for a unit.

    :ivar workers: a worker for each index of the unit.
    :ivar victims: runs to stop first.
    :ivar waits: whether room becomes free only after stops.
    :ivar cost: core-seconds that the stops lose.
    :ivar leftover: fit; smaller leaves less room broken up.
    """

    workers: list[fleet.Worker]
    victims: list[fleet.PlacedRun]
    waits: bool
    cost: float
    leftover: float

    def get_order(self) -> tuple[float, float]:
        """Return the sort key; smaller is better."""
        return (self.cost, self.leftover)


class Draft:
    """Room of the workers while a plan is made.

    :param claims: room that is held for units of earlier rank.
    :param may_stop: whether a run may be stopped for the unit; ``None``
        plans without stops.
    """

    __slots__ = ('_claims', '_may_stop', '_now', '_taken', '_victims', 'cost')

    def __init__(
        self,
        now: float,
        claims: dict[work.Lifetime, work.Resources],
        may_stop: Callable[[fleet.PlacedRun], bool] | None,
    ) -> None:
        self._now = now
        self._claims = claims
        self._may_stop = may_stop
        self._taken: dict[work.Lifetime, work.Resources] = {}
        self._victims: dict[work.Run, fleet.PlacedRun] = {}
        self.cost = 0.0

    def get_victims(self) -> list[fleet.PlacedRun]:
        """Return the runs to stop."""
        return list(self._victims.values())

    def get_free(self, worker: fleet.Worker) -> work.Resources:
        """Return the room that is neither used, claimed nor drafted."""
        free = worker.room
        for held in (self._claims, self._taken):
            if worker.lifetime in held:
                free = free.minus(held[worker.lifetime])
        return free

    def take(self, worker: fleet.Worker, demand: work.Resources) -> None:
        """Draft a work item on a worker."""
        taken = self._taken.get(worker.lifetime, work.Resources())
        self._taken[worker.lifetime] = taken.plus(demand)

    def find_stops(
        self, worker: fleet.Worker, demand: work.Resources
    ) -> tuple[float, list[fleet.PlacedRun]] | None:
        """Return the cheapest stops that make room, with their cost."""
        if self._may_stop is None:
            return None
        free = self.get_free(worker)
        candidates = []
        for placed in worker.runs.values():
            if placed.stop_reason or placed.run in self._victims:
                free = free.plus(placed.reserved)
            elif self._may_stop(placed):
                candidates.append(placed)
        chosen: list[fleet.PlacedRun] = []
        cost = 0.0
        candidates.sort(key=lambda placed: self._get_cost(placed))
        for placed in candidates:
            if free.holds(demand):
                break
            chosen.append(placed)
            free = free.plus(placed.reserved)
        if not free.holds(demand):
            return None
        for placed in reversed(list(chosen)):
            left = free.minus(placed.reserved)
            if left.holds(demand):
                chosen.remove(placed)
                free = left
        for placed in chosen:
            cost += self._get_cost(placed)
        return cost, chosen

    def add_victims(self, cost: float, chosen: list[fleet.PlacedRun]) -> None:
        """Draft the stop of runs."""
        self.cost += cost
        for placed in chosen:
            self._victims[placed.run] = placed

    def _get_cost(self, placed: fleet.PlacedRun) -> float:
        demand = placed.step.demand
        cores = demand.cpu / 1000
        cores += CORES_PER_ACCELERATOR * demand.accelerators
        return STOP_COST + cores * placed.get_unsaved(self._now)


class Planner:
    """Plans units one after the other, in the order of their rank.

    :param workers: workers that may take new work.
    :param everyone: all workers with a profile, also those that are busy.
    """

    __slots__ = ('_claims', '_now', '_workers')

    def __init__(self, now: float, workers: list[fleet.Worker]) -> None:
        self._now = now
        self._workers = workers
        self._claims: dict[work.Lifetime, work.Resources] = {}

    def claim(self, unit: jobs.Unit, plan: Plan) -> None:
        """Hold the room of a plan that waits for stops."""
        demand = unit.step.get_reserved()
        for worker in plan.workers:
            held = self._claims.get(worker.lifetime, work.Resources())
            self._claims[worker.lifetime] = held.plus(demand)

    def find_plan(
        self,
        unit: jobs.Unit,
        may_stop: Callable[[fleet.PlacedRun], bool] | None,
        anywhere: bool,
    ) -> Plan | None:
        """Return the best plan for a unit.

        :param may_stop: whether a run may be stopped for it.
        :param anywhere: whether workers far from the data, or several racks
            for a gang that wants one, are accepted.
        """
        eligible = self._list_eligible(unit)
        near = self._list_near(unit, eligible)
        plan = self._choose(unit, near, None)
        if plan is None and may_stop is not None:
            plan = self._choose(unit, near, may_stop)
        if plan is not None or not (anywhere or not near):
            return plan
        plan = self._choose(unit, [eligible], None)
        if plan is None and may_stop is not None:
            plan = self._choose(unit, [eligible], may_stop)
        return plan

    def _list_eligible(self, unit: jobs.Unit) -> list[fleet.Worker]:
        terms = unit.job.submission.terms
        eligible = []
        for worker in self._workers:
            profile = worker.profile
            if profile is None or profile.service != terms.service:
                continue
            if unit.step.label and unit.step.label not in profile.labels:
                continue
            if not profile.capacity.holds(unit.step.get_reserved()):
                continue
            eligible.append(worker)
        return eligible

    def _list_near(
        self, unit: jobs.Unit, eligible: list[fleet.Worker]
    ) -> list[list[fleet.Worker]]:
        """Return the racks that could hold the unit at full speed."""
        step = unit.step
        if not step.data_rack and not (step.gang and step.same_rack):
            return [eligible]
        racks: dict[str, list[fleet.Worker]] = {}
        for worker in eligible:
            if worker.profile is None:
                continue
            rack = worker.profile.rack
            if step.data_rack and rack != step.data_rack:
                continue
            racks.setdefault(rack, []).append(worker)
        count = len(unit.indexes)
        return [
            rack
            for rack in racks.values()
            if count_places(rack, step.get_reserved()) >= count
        ]

    def _choose(
        self,
        unit: jobs.Unit,
        groups: list[list[fleet.Worker]],
        may_stop: Callable[[fleet.PlacedRun], bool] | None,
    ) -> Plan | None:
        best = None
        for group in groups:
            plan = self._fill(unit, group, may_stop)
            if plan is None:
                continue
            if best is None or plan.get_order() < best.get_order():
                best = plan
        return best

    def _fill(
        self,
        unit: jobs.Unit,
        group: list[fleet.Worker],
        may_stop: Callable[[fleet.PlacedRun], bool] | None,
    ) -> Plan | None:
        draft = Draft(self._now, self._claims, may_stop)
        demand = unit.step.get_reserved()
        counts: dict[work.Lifetime, int] = {}
        chosen: list[fleet.Worker] = []
        waits = False
        leftover = 0.0
        for _ in unit.indexes:
            found = self._find_free(unit, group, draft, counts)
            if found is None:
                found = self._find_stops(unit, group, draft, counts)
                waits = True
            if found is None:
                return None
            leftover += measure_leftover(found, draft.get_free(found), demand)
            draft.take(found, demand)
            counts[found.lifetime] = counts.get(found.lifetime, 0) + 1
            chosen.append(found)
        return Plan(chosen, draft.get_victims(), waits, draft.cost, leftover)

    def _find_free(
        self,
        unit: jobs.Unit,
        group: list[fleet.Worker],
        draft: Draft,
        counts: dict[work.Lifetime, int],
    ) -> fleet.Worker | None:
        demand = unit.step.get_reserved()
        best = None
        for worker in group:
            free = draft.get_free(worker)
            if not free.holds(demand):
                continue
            if not self._is_allowed(unit, worker, counts):
                continue
            key = (
                self._is_avoided(unit, worker),
                measure_leftover(worker, free, demand),
            )
            if best is None or key < best[0]:
                best = (key, worker)
        return best[1] if best is not None else None

    def _find_stops(
        self,
        unit: jobs.Unit,
        group: list[fleet.Worker],
        draft: Draft,
        counts: dict[work.Lifetime, int],
    ) -> fleet.Worker | None:
        demand = unit.step.get_reserved()
        best = None
        for worker in group:
            if not self._is_allowed(unit, worker, counts):
                continue
            stops = draft.find_stops(worker, demand)
            if stops is None:
                continue
            key = (self._is_avoided(unit, worker), stops[0])
            if best is None or key < best[0]:
                best = (key, worker, stops)
        if best is None:
            return None
        draft.add_victims(*best[2])
        return best[1]

    def _is_allowed(
        self,
        unit: jobs.Unit,
        worker: fleet.Worker,
        counts: dict[work.Lifetime, int],
    ) -> bool:
        limit = unit.step.per_worker
        if not limit:
            return True
        used = worker.count_step(unit.job.id, unit.occurrence, unit.step_index)
        return used + counts.get(worker.lifetime, 0) < limit

    def _is_avoided(self, unit: jobs.Unit, worker: fleet.Worker) -> bool:
        if worker.suspect_until > self._now:
            return True
        avoided = unit.job.avoided.get(unit.get_key()[1:], ())
        return worker.lifetime.worker in avoided


def count_places(workers: list[fleet.Worker], demand: work.Resources) -> int:
    """Return how many work items the workers hold when they are empty."""
    total = 0
    for worker in workers:
        if worker.profile is None:
            continue
        total += count_fits(worker.profile.capacity, demand)
    return total


def count_fits(room: work.Resources, demand: work.Resources) -> int:
    """Return how many times a demand fits into some room."""
    fits = []
    if demand.cpu:
        fits.append(room.cpu // demand.cpu)
    if demand.memory:
        fits.append(room.memory // demand.memory)
    if demand.accelerators:
        fits.append(room.accelerators // demand.accelerators)
    return min(fits, default=1_000_000)


def measure_leftover(
    worker: fleet.Worker, free: work.Resources, demand: work.Resources
) -> float:
    """Return the share of a worker that stays free; smaller fits better."""
    if worker.profile is None:
        return 1.0
    capacity = worker.profile.capacity
    left = free.minus(demand)
    share = left.cpu / max(capacity.cpu, 1)
    share += left.memory / max(capacity.memory, 1)
    share += left.accelerators / max(capacity.accelerators, 1)
    return share
