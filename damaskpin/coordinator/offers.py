"""Offers of workers for the work items of one unit, the best first."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import drafts
    from damaskpin.coordinator import fleet
    from damaskpin.coordinator import job as jobs
    from damaskpin.model import work


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

    __slots__ = (
        '_avoided',
        '_counts',
        '_draft',
        '_heap',
        '_needs_trust',
        '_rounds',
        '_unit',
        '_workers',
    )

    def __init__(
        self, unit: jobs.Unit, group: list[fleet.Worker], draft: drafts.Draft
    ) -> None:
        self._unit = unit
        self._draft = draft
        self._workers = {
            worker.lifetime: position for position, worker in enumerate(group)
        }
        self._avoided = unit.job.avoided.get(unit.get_key()[1:], ())
        self._needs_trust = unit.is_last_attempt()
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

    def _is_avoided(self, worker: fleet.Worker) -> bool:
        """Return whether other workers are preferred for the unit."""
        if worker.is_doubtful() or worker.lifetime.worker in self._avoided:
            return True
        return self._needs_trust and not worker.is_trusted(self._draft.now)

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
                self._is_avoided(worker),
                room.cost,
                leftover,
                position,
                self._rounds[position],
                Offer(worker, room, leftover),
            )
        )


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
