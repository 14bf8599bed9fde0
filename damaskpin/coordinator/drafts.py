"""Room of the workers while a plan is made."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import fleet

# Seconds that a stopped run loses beside its unsaved work: it is stopped,
# placed and restored again.
RESTART_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class FreePolicy:
    """Only room that is free now counts."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopPolicy:
    """Runs are stopped; the cost is the work lost, in core-seconds.

    :ivar may_stop: whether a run may be stopped.
    """

    may_stop: Callable[[fleet.PlacedRun], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitPolicy:
    """Runs are waited for; the cost is the longest wait, in seconds."""


Policy = FreePolicy | StopPolicy | WaitPolicy

NOTHING = FreePolicy()
WAIT = WaitPolicy()


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Room that is held for a waiting unit.

    :ivar ready: time at which the unit is expected to start, in seconds.
    """

    demand: work.Resources
    ready: float


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """How one worker gets room for a work item.

    :ivar cost: cost by the policy.
    :ivar victims: runs that end first.
    """

    cost: float
    victims: tuple[fleet.PlacedRun, ...]


EMPTY = Room(0.0, ())


class Draft:
    """Room of the workers, less what is claimed and drafted.

    :param ends: time at which the unit would end, in seconds.
    :param claims: room that is held for units of earlier rank.
    """

    __slots__ = (
        '_claims',
        '_ends',
        '_now',
        '_policy',
        '_taken',
        '_victims',
        'cost',
    )

    def __init__(
        self,
        now: float,
        ends: float,
        claims: dict[work.Lifetime, list[Claim]],
        policy: Policy,
    ) -> None:
        self._now = now
        self._ends = ends
        self._claims = claims
        self._policy = policy
        self._taken: dict[work.Lifetime, work.Resources] = {}
        self._victims: dict[
            work.Run, tuple[fleet.Worker, fleet.PlacedRun]
        ] = {}
        self.cost = 0.0

    def get_victims(self) -> list[tuple[fleet.Worker, fleet.PlacedRun]]:
        """Return the runs that end first, with their workers."""
        return list(self._victims.values())

    def get_free(self, worker: fleet.Worker) -> work.Resources:
        """Return the room that is neither used, claimed nor drafted."""
        free = worker.room
        for claim in self._claims.get(worker.lifetime, ()):
            if claim.ready < self._ends:
                free = free.minus(claim.demand)
        taken = self._taken.get(worker.lifetime)
        return free if taken is None else free.minus(taken)

    def take(self, worker: fleet.Worker, demand: work.Resources) -> None:
        """Draft a work item on a worker."""
        taken = self._taken.get(worker.lifetime, work.Resources())
        self._taken[worker.lifetime] = taken.plus(demand)

    def add(self, worker: fleet.Worker, room: Room) -> None:
        """Draft the ends that make room."""
        match self._policy:
            case WaitPolicy():
                self.cost = max(self.cost, room.cost)
            case _:
                self.cost += room.cost
        for placed in room.victims:
            self._victims[placed.run] = (worker, placed)

    def find_room(
        self, worker: fleet.Worker, demand: work.Resources
    ) -> Room | None:
        """Return the cheapest way to room on a worker."""
        free = self.get_free(worker)
        if free.holds(demand):
            return EMPTY
        match self._policy:
            case FreePolicy():
                return None
            case StopPolicy(may_stop=may_stop):
                return self._find_stops(worker, free, demand, may_stop)
            case WaitPolicy():
                return self._find_wait(worker, free, demand)

    def _find_stops(
        self,
        worker: fleet.Worker,
        free: work.Resources,
        demand: work.Resources,
        may_stop: Callable[[fleet.PlacedRun], bool],
    ) -> Room | None:
        candidates = []
        for placed in worker.runs.values():
            if placed.stop_reason or placed.run in self._victims:
                free = free.plus(placed.reserved)
            elif may_stop(placed):
                candidates.append(placed)
        candidates.sort(key=self._get_loss)
        chosen: list[fleet.PlacedRun] = []
        for placed in candidates:
            if free.holds(demand):
                break
            chosen.append(placed)
            free = free.plus(placed.reserved)
        if not free.holds(demand):
            return None
        for placed in reversed(list(chosen)):
            # Cheap stops that a later, larger one made needless.
            less = free.minus(placed.reserved)
            if less.holds(demand):
                chosen.remove(placed)
                free = less
        cost = sum(self._get_loss(placed) for placed in chosen)
        return Room(cost, tuple(chosen))

    def _find_wait(
        self,
        worker: fleet.Worker,
        free: work.Resources,
        demand: work.Resources,
    ) -> Room | None:
        waits = []
        for placed in worker.runs.values():
            if placed.run in self._victims:
                free = free.plus(placed.reserved)
            elif placed.stop_reason:
                waits.append((0.0, placed))
            elif not placed.step.lasting:
                waits.append((placed.get_remaining(self._now), placed))
        waits.sort(key=lambda wait: wait[0])
        chosen: list[fleet.PlacedRun] = []
        for wait, placed in waits:
            chosen.append(placed)
            free = free.plus(placed.reserved)
            if free.holds(demand):
                return Room(wait, tuple(chosen))
        return None

    def _get_loss(self, placed: fleet.PlacedRun) -> float:
        unsaved = placed.get_unsaved(self._now)
        loss = placed.step.get_cores() * (unsaved + RESTART_S)
        if placed.step.gang:
            # One member's stop ends all of them.
            loss *= placed.step.count
        return loss
