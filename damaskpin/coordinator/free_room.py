"""Free capacity of the workers of each service, at one moment."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.peer import orders

# Room that a unit must find, as a multiple of its demand.
ROOM_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FreeWorker:
    """A worker with the capacity that is free on it.

    :ivar running: runs that the worker lists, if they are told.
    """

    profile: orders.WorkerProfile
    free: work.Resources
    running: tuple[work.RunningRun, ...] = ()


class FreeRoom:
    """Free capacity of some workers, and the share that is in use.

    :param workers: workers that may get work; others are left out.
    :param max_searches: number of searches for room, which bounds the cost
        when many jobs with different demands wait; ``None`` for no bound.
    """

    __slots__ = (
        '_has_room',
        '_largest',
        '_max_searches',
        '_used_shares',
        '_workers',
    )

    def __init__(
        self, workers: Iterable[FreeWorker], max_searches: int | None = None
    ) -> None:
        self._max_searches = max_searches
        self._workers: dict[str, list[FreeWorker]] = {}
        self._largest: dict[str, work.Resources] = {}
        self._used_shares: dict[str, float] = {}
        self._has_room: dict[tuple[str, str, work.Resources, int], bool] = {}
        capacities: dict[str, int] = {}
        free_capacities: dict[str, int] = {}
        for worker in workers:
            service = worker.profile.service
            self._workers.setdefault(service, []).append(worker)
            self._largest[service] = combine_largest(
                self._largest.get(service, worker.free), worker.free
            )
            capacities[service] = capacities.get(
                service, 0
            ) + count_core_equivalents(worker.profile.capacity)
            free_capacities[service] = free_capacities.get(
                service, 0
            ) + count_core_equivalents(worker.free)
        for service, capacity in capacities.items():
            used = capacity - free_capacities[service]
            self._used_shares[service] = used / max(capacity, 1)

    def get_used_share(self, service: str) -> float:
        """Return the share of a service in use; 1 without its workers."""
        return self._used_shares.get(service, 1.0)

    def has_ample_room(
        self, service: str, step: work.Step, count: int
    ) -> bool | None:
        """Return whether work items of a step find room several times over.

        :param count: number of work items that start together.
        :returns: ``None`` if there were too many other searches.
        """
        demand = step.get_reservation()
        largest = self._largest.get(service)
        if largest is None or not largest.can_fit(demand):
            return False
        needed = ROOM_FACTOR * count
        key = (service, step.label, demand, needed)
        known = self._has_room.get(key)
        if known is not None:
            return known
        if (
            self._max_searches is not None
            and len(self._has_room) >= self._max_searches
        ):
            return None
        self._has_room[key] = self._search(service, step.label, demand, needed)
        return self._has_room[key]

    def list_workers(self, service: str, step: work.Step) -> list[FreeWorker]:
        """Return the workers with room for one work item of a step."""
        demand = step.get_reservation()
        return [
            worker
            for worker in self._workers.get(service, ())
            if worker.free.can_fit(demand)
            and (not step.label or step.label in worker.profile.labels)
        ]

    def _search(
        self, service: str, label: str, demand: work.Resources, needed: int
    ) -> bool:
        """Return whether so many work items find room."""
        for worker in self._workers[service]:
            if label and label not in worker.profile.labels:
                continue
            needed -= max(work.count_fits(worker.free, demand), 0)
            if needed <= 0:
                return True
        return False


def count_core_equivalents(resources: work.Resources) -> int:
    """Return processors and accelerators in thousandths of a core."""
    accelerators = resources.accelerators * work.CORES_PER_ACCELERATOR * 1000
    return resources.cpu + accelerators


def combine_largest(
    first: work.Resources, second: work.Resources
) -> work.Resources:
    """Return the larger amount of each resource."""
    return work.Resources(
        max(first.cpu, second.cpu),
        max(first.memory, second.memory),
        max(first.accelerators, second.accelerators),
    )
