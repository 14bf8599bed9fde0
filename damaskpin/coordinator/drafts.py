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


@dataclasses.dataclass(slots=True)
class Candidate:
    """Runs on one worker that are stopped together.

    :ivar loss: core-seconds of work that the stop loses.
    :ivar reserved: capacity of the worker that becomes free.
    """

    placed: fleet.PlacedRun
    loss: float
    reserved: work.Resources


class Draft:
    """Room of the workers, less what is claimed and drafted.

    :param ends: time at which the unit would end, in seconds.
    :param claims: room that is held for units of earlier rank.
    """

    __slots__ = (
        '_claims',
        '_ends',
        '_gangs',
        '_policy',
        '_taken',
        '_victims',
        'cost',
        'now',
    )

    def __init__(
        self,
        now: float,
        ends: float,
        claims: dict[work.Lifetime, list[Claim]],
        policy: Policy,
    ) -> None:
        self.now = now
        self._ends = ends
        self._claims = claims
        self._policy = policy
        self._taken: dict[work.Lifetime, work.Resources] = {}
        self._gangs: set[work.GangRun] = set()
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

    def add(self, worker: fleet.Worker, room: Room) -> set[work.GangRun]:
        """Draft the ends that make room.

        :returns: gangs that end with them; their members on other workers
            make room too.
        """
        gangs = set()
        stops = isinstance(self._policy, StopPolicy)
        if stops:
            self.cost += room.cost
        else:
            self.cost = max(self.cost, room.cost)
        for placed in room.victims:
            self._victims[placed.run] = (worker, placed)
            if stops and placed.step.gang:
                gangs.add(placed.run.get_gang())
        gangs -= self._gangs
        self._gangs |= gangs
        return gangs

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
        candidates: list[Candidate] = []
        by_gang: dict[work.GangRun, Candidate] = {}
        for placed in worker.runs.values():
            if self._is_ending(placed):
                free = free.plus(placed.reserved)
                continue
            if not may_stop(placed):
                continue
            if not placed.step.gang:
                loss = self._get_loss(placed)
                candidates.append(Candidate(placed, loss, placed.reserved))
                continue
            gang = placed.run.get_gang()
            known = by_gang.get(gang)
            if known is not None:
                known.reserved = known.reserved.plus(placed.reserved)
                continue
            # One member's stop ends all of them.
            loss = self._get_loss(placed) * placed.step.count
            by_gang[gang] = Candidate(placed, loss, placed.reserved)
        candidates.extend(by_gang.values())
        candidates.sort(key=lambda candidate: candidate.loss)
        return choose_stops(candidates, free, demand)

    def _is_ending(self, placed: fleet.PlacedRun) -> bool:
        if placed.stop_reason or placed.run in self._victims:
            return True
        return (
            bool(self._gangs)
            and placed.step.gang
            and placed.run.get_gang() in self._gangs
        )

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
                waits.append((placed.get_remaining(self.now), placed))
        waits.sort(key=lambda wait: wait[0])
        chosen: list[fleet.PlacedRun] = []
        for wait, placed in waits:
            chosen.append(placed)
            free = free.plus(placed.reserved)
            if free.holds(demand):
                return Room(wait, tuple(chosen))
        return None

    def _get_loss(self, placed: fleet.PlacedRun) -> float:
        unsaved = placed.get_unsaved(self.now)
        return placed.step.get_cores() * (unsaved + RESTART_S)


def choose_stops(
    candidates: list[Candidate],
    free: work.Resources,
    demand: work.Resources,
) -> Room | None:
    """Choose the stops that make room for a demand.

    :param candidates: what may be stopped, the cheapest first.
    """
    chosen: list[Candidate] = []
    for candidate in candidates:
        if free.holds(demand):
            break
        chosen.append(candidate)
        free = free.plus(candidate.reserved)
    if not free.holds(demand):
        return None
    for candidate in reversed(list(chosen)):
        # Cheap stops that a later, larger one made needless.
        less = free.minus(candidate.reserved)
        if less.holds(demand):
            chosen.remove(candidate)
            free = less
    cost = sum(candidate.loss for candidate in chosen)
    return Room(cost, tuple(candidate.placed for candidate in chosen))
