"""Search for workers that a unit can start on, now or after stops or ends."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import drafts
from damaskpin.coordinator import offers as offers_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import fleet
    from damaskpin.coordinator import job as jobs
    from damaskpin.model import work

    MayStop = Callable[[jobs.Unit, fleet.PlacedRun], bool]

# A unit may use room that is kept for another one if it ends, with this
# allowance for a wrong estimate, before the other one can start.
BACKFILL_FACTOR = 1.2


@dataclasses.dataclass(slots=True)
class Plan:
    """Workers for a unit.

    :ivar workers: a worker for each index of the unit.
    :ivar victims: runs to stop first, or to wait for, with their workers.
    :ivar cost: core-seconds that the stops lose, or seconds to wait.
    :ivar leftover: fit; smaller leaves less room broken up.
    """

    workers: list[fleet.Worker]
    victims: list[tuple[fleet.Worker, fleet.PlacedRun]]
    cost: float
    leftover: float

    def get_order(self) -> tuple[float, float]:
        """Return the sort key; smaller is better."""
        return (self.cost, self.leftover)


class Planner:
    """Plans units one after the other, in the order of their rank.

    :param workers: workers that may take new work.
    :param tickets: permissions of the advisor.
    """

    __slots__ = (
        '_claims',
        '_eligible',
        '_gangs',
        '_now',
        '_tickets',
        '_workers',
    )

    def __init__(
        self,
        now: float,
        workers: list[fleet.Worker],
        tickets: advice.Tickets,
    ) -> None:
        self._now = now
        self._tickets = tickets
        self._workers = workers
        self._claims: dict[work.Lifetime, list[drafts.Claim]] = {}
        self._eligible: dict[tuple[object, ...], list[fleet.Worker]] = {}
        self._gangs: dict[work.GangRun, list[fleet.Worker]] | None = None

    def claim(self, unit: jobs.Unit, plan: Plan, ready: float) -> None:
        """Hold the room of a plan that waits.

        :param ready: time at which the room is expected, in seconds.
        """
        claim = drafts.Claim(unit.step.get_reserved(), ready)
        for worker in plan.workers:
            self._claims.setdefault(worker.lifetime, []).append(claim)

    def has_near(self, unit: jobs.Unit) -> bool:
        """Return whether some workers would run the unit faster than others.

        That is so for work near its data and for a gang within one rack.
        """
        if not wants_near(unit):
            return False
        return bool(list_near(unit, self._list_eligible(unit)))

    def find_free(self, unit: jobs.Unit, near: bool) -> Plan | None:
        """Return the best plan that starts at once.

        :param near: whether only workers that run the unit at full speed are
            accepted.
        """
        return self._find(unit, near, drafts.NOTHING)

    def find_stops(
        self, unit: jobs.Unit, near: bool, may_stop: MayStop
    ) -> Plan | None:
        """Return the plan whose stops lose least.

        :param may_stop: whether a run may be stopped for the unit.
        """
        policy = drafts.StopPolicy(lambda placed: may_stop(unit, placed))
        return self._find(unit, near, policy)

    def find_wait(self, unit: jobs.Unit, near: bool) -> Plan | None:
        """Return the plan that is ready first without stops."""
        return self._find(unit, near, drafts.WAIT)

    def _find(
        self, unit: jobs.Unit, near: bool, policy: drafts.Policy
    ) -> Plan | None:
        eligible = self._list_eligible(unit)
        groups = list_near(unit, eligible) if near else [eligible]
        return self._choose(unit, groups, policy)

    def _list_eligible(self, unit: jobs.Unit) -> list[fleet.Worker]:
        """Return the workers that may run a unit, found once in a pass."""
        terms = unit.job.submission.terms
        key: tuple[object, ...] = (
            terms.service,
            unit.step.label,
            unit.step.get_reserved(),
            advice.make_key(unit) if terms.advice is not None else None,
        )
        known = self._eligible.get(key)
        if known is None:
            known = self._find_eligible(unit)
            self._eligible[key] = known
        return known

    def _find_eligible(self, unit: jobs.Unit) -> list[fleet.Worker]:
        terms = unit.job.submission.terms
        reserved = unit.step.get_reserved()
        eligible = []
        for worker in self._workers:
            profile = worker.profile
            if profile is None or profile.service != terms.service:
                continue
            if unit.step.label and unit.step.label not in profile.labels:
                continue
            if not profile.capacity.holds(reserved):
                continue
            if terms.advice is not None and not self._tickets.get(
                self._now, advice.make_key(unit), worker.lifetime
            ):
                continue
            eligible.append(worker)
        return eligible

    def _choose(
        self,
        unit: jobs.Unit,
        groups: list[list[fleet.Worker]],
        policy: drafts.Policy,
    ) -> Plan | None:
        best = None
        for group in groups:
            plan = self._fill(unit, group, policy)
            if plan is None:
                continue
            if best is None or plan.get_order() < best.get_order():
                best = plan
        return best

    def _fill(
        self,
        unit: jobs.Unit,
        group: list[fleet.Worker],
        policy: drafts.Policy,
    ) -> Plan | None:
        ends = self._now + unit.step.estimate * BACKFILL_FACTOR
        draft = drafts.Draft(self._now, ends, self._claims, policy)
        demand = unit.step.get_reserved()
        offers = offers_module.Offers(unit, group, draft)
        chosen: list[fleet.Worker] = []
        leftover = 0.0
        for _ in unit.indexes:
            offer = offers.pop_best()
            if offer is None:
                return None
            leftover += offer.leftover
            chosen.append(offer.worker)
            gangs = draft.add(offer.worker, offer.room)
            draft.take(offer.worker, demand)
            offers.renew(offer.worker)
            for gang in gangs:
                for worker in self._find_members(gang):
                    offers.renew(worker)
        return Plan(chosen, draft.get_victims(), draft.cost, leftover)

    def _find_members(self, gang: work.GangRun) -> list[fleet.Worker]:
        """Return the workers that have members of a gang."""
        if self._gangs is None:
            self._gangs = {}
            for worker in self._workers:
                for placed in worker.runs.values():
                    if not placed.step.gang:
                        continue
                    known = self._gangs.setdefault(placed.run.get_gang(), [])
                    if worker not in known:
                        known.append(worker)
        return self._gangs.get(gang, [])


def wants_near(unit: jobs.Unit) -> bool:
    """Return whether the speed of a unit depends on the racks it gets."""
    step = unit.step
    return bool(step.data_rack) or (step.gang and step.same_rack)


def list_near(
    unit: jobs.Unit, eligible: list[fleet.Worker]
) -> list[list[fleet.Worker]]:
    """Return the groups of workers that could hold the unit at full speed."""
    if not wants_near(unit):
        return [eligible]
    step = unit.step
    racks: dict[str, list[fleet.Worker]] = {}
    for worker in eligible:
        if worker.profile is None:
            continue
        rack = worker.profile.rack
        if step.data_rack and rack != step.data_rack:
            continue
        racks.setdefault(rack, []).append(worker)
    reserved = step.get_reserved()
    count = len(unit.indexes)
    return [
        rack
        for rack in racks.values()
        if count_places(rack, reserved) >= count
    ]


def count_places(workers: list[fleet.Worker], demand: work.Resources) -> int:
    """Return how many work items the workers hold when they are empty."""
    total = 0
    for worker in workers:
        if worker.profile is not None:
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
