"""Search for workers that a unit can start on, now or after stops or ends."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from damaskpin.coordinator import drafts

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
    """

    __slots__ = ('_claims', '_gangs', '_now', '_workers')

    def __init__(self, now: float, workers: list[fleet.Worker]) -> None:
        self._now = now
        self._workers = workers
        self._claims: dict[work.Lifetime, list[drafts.Claim]] = {}
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
        terms = unit.job.submission.terms
        reserved = unit.step.get_reserved()
        eligible = []
        for worker in self._workers:
            profile = worker.profile
            if profile is None or profile.service != terms.service:
                continue
            if unit.step.label and unit.step.label not in profile.labels:
                continue
            if profile.capacity.holds(reserved):
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
        offers = Offers(unit, group, draft)
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


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Room for one work item on a worker.

    :ivar leftover: share of the worker that stays free.
    """

    worker: fleet.Worker
    room: drafts.Room
    leftover: float


class Offers:
    """Offers of the workers for the equal work items of a unit, best first.

    A worker's offer changes only with what is drafted there, so each work
    item costs one new offer instead of a look at all workers.
    """

    __slots__ = ('_counts', '_draft', '_heap', '_rounds', '_unit', '_workers')

    def __init__(
        self, unit: jobs.Unit, group: list[fleet.Worker], draft: drafts.Draft
    ) -> None:
        self._unit = unit
        self._draft = draft
        self._workers = {
            worker.lifetime: position for position, worker in enumerate(group)
        }
        self._counts: dict[work.Lifetime, int] = {}
        self._rounds = [0] * len(group)
        # Avoided, cost, leftover, position, round, offer.
        self._heap: list[tuple[bool, float, float, int, int, Offer]] = []
        for position, worker in enumerate(group):
            self._push(position, worker)
        heapq.heapify(self._heap)

    def pop_best(self) -> Offer | None:
        """Take the best offer; it counts as used."""
        while self._heap:
            *_, position, made, offer = heapq.heappop(self._heap)
            if made != self._rounds[position]:
                continue
            lifetime = offer.worker.lifetime
            self._counts[lifetime] = self._counts.get(lifetime, 0) + 1
            return offer
        return None

    def renew(self, worker: fleet.Worker) -> None:
        """Replace a worker's offer after a change of its draft."""
        position = self._workers.get(worker.lifetime)
        if position is None:
            return
        self._rounds[position] += 1
        before = len(self._heap)
        self._push(position, worker)
        if len(self._heap) > before:
            heapq.heappush(self._heap, self._heap.pop())

    def _push(self, position: int, worker: fleet.Worker) -> None:
        unit = self._unit
        if not is_allowed(unit, worker, self._counts):
            return
        demand = unit.step.get_reserved()
        room = self._draft.find_room(worker, demand)
        if room is None:
            return
        free = self._draft.get_free(worker)
        leftover = measure_leftover(worker, free, demand)
        self._heap.append(
            (
                is_avoided(unit, worker),
                room.cost,
                leftover,
                position,
                self._rounds[position],
                Offer(worker, room, leftover),
            )
        )


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


def is_allowed(
    unit: jobs.Unit, worker: fleet.Worker, counts: dict[work.Lifetime, int]
) -> bool:
    """Return whether one more work item of the step may run on a worker."""
    if not shares_quietly(unit.step, worker):
        return False
    limit = unit.step.per_worker
    if not limit:
        return True
    used = worker.count_step(unit.job.id, unit.occurrence, unit.step_index)
    return used + counts.get(worker.lifetime, 0) < limit


def shares_quietly(step: work.Step, worker: fleet.Worker) -> bool:
    """Return whether a step's latency target survives beside other work.

    Work that fills what others leave unused disturbs the tail latency of
    work that serves users, so the two never share a worker.
    """
    if not step.fills and not step.latency_target:
        return True
    for placed in worker.runs.values():
        if step.fills and placed.step.latency_target:
            return False
        if step.latency_target and placed.step.fills:
            return False
    return True


def is_avoided(unit: jobs.Unit, worker: fleet.Worker) -> bool:
    """Return whether the unit, or the last run, has failed on a worker."""
    if worker.is_doubtful():
        return True
    avoided = unit.job.avoided.get(unit.get_key()[1:], ())
    return worker.lifetime.worker in avoided


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
