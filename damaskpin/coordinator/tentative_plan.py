"""Tentative allocation of worker capacity while a plan is computed."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

# Seconds that a preempted run loses in addition to its unsaved work, because
# it has to be stopped, placed again and restored.
RESTART_COST_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class FreeOnlyPolicy:
    """Use only capacity that is free now."""


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptPolicy:
    """Preempt runs; the cost is the work lost, in core-seconds.

    :ivar may_preempt: tells whether a run may be preempted.
    """

    may_preempt: Callable[[placed_run.PlacedRun], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitPolicy:
    """Wait for runs to end; the cost is the longest wait, in seconds."""


Policy = FreeOnlyPolicy | PreemptPolicy | WaitPolicy

FREE_ONLY = FreeOnlyPolicy()
WAIT = WaitPolicy()


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity on one worker that is reserved for a waiting unit.

    :ivar demand: reserved capacity.
    :ivar expected_start: time at which the unit is expected to start, in
        seconds.
    """

    demand: work.Resources
    expected_start: float


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityOption:
    """One way to obtain capacity for a work item on a worker.

    :ivar cost: core-seconds of work lost by preemption, or seconds of
        waiting, depending on the policy.
    :ivar victims: runs that have to end before the work item starts.
    """

    cost: float
    victims: tuple[placed_run.PlacedRun, ...]


ALREADY_FREE = CapacityOption(0.0, ())


@dataclasses.dataclass(slots=True)
class PreemptionCandidate:
    """Runs on one worker that can only be preempted together.

    :ivar placed: the run, or one member of the gang.
    :ivar lost_work: core-seconds of work that the preemption loses.
    :ivar reserved: capacity of the worker that the preemption frees.
    """

    placed: placed_run.PlacedRun
    lost_work: float
    reserved: work.Resources


class TentativePlan:
    """Capacity of the workers while one unit is planned.

    Subtracts reservations and the work items that the plan has allocated so
    far.

    :param unit_end: time at which the unit would end, in seconds.
    :param reservations: capacity reserved for units of earlier rank.
    :ivar cost: cost of the plan so far, in the unit of the policy.
    :ivar now: time at which the plan is computed, in seconds.
    """

    __slots__ = (
        '_allocated',
        '_policy',
        '_preempted_gangs',
        '_reservations',
        '_unit_end',
        '_victims',
        'cost',
        'now',
    )

    def __init__(
        self,
        now: float,
        unit_end: float,
        reservations: dict[work.Lifetime, list[Reservation]],
        policy: Policy,
    ) -> None:
        self.now = now
        self._unit_end = unit_end
        self._reservations = reservations
        self._policy = policy
        self._allocated: dict[work.Lifetime, work.Resources] = {}
        self._preempted_gangs: set[work.GangRun] = set()
        self._victims: dict[
            work.Run, tuple[worker_state.Worker, placed_run.PlacedRun]
        ] = {}
        self.cost = 0.0

    def list_victims(
        self,
    ) -> list[tuple[worker_state.Worker, placed_run.PlacedRun]]:
        """Return the runs that must end before the unit starts.

        :returns: pairs of the worker and its run.
        """
        return list(self._victims.values())

    def get_free(self, worker: worker_state.Worker) -> work.Resources:
        """Return the capacity that is not used, reserved or allocated."""
        free = worker.free_capacity
        for reservation in self._reservations.get(worker.lifetime, ()):
            if reservation.expected_start < self._unit_end:
                free = free.minus(reservation.demand)
        allocated = self._allocated.get(worker.lifetime)
        return free if allocated is None else free.minus(allocated)

    def allocate(
        self, worker: worker_state.Worker, demand: work.Resources
    ) -> None:
        """Allocate capacity for a work item on a worker."""
        allocated = self._allocated.get(worker.lifetime, work.Resources())
        self._allocated[worker.lifetime] = allocated.plus(demand)

    def apply_capacity_option(
        self, worker: worker_state.Worker, option: CapacityOption
    ) -> set[work.GangRun]:
        """Add the victims and the cost of a capacity option to the plan.

        :param worker: worker on which the option obtains capacity.
        :returns: gangs that are newly preempted; their members on other
            workers free capacity too.
        """
        gangs = set()
        preempting = isinstance(self._policy, PreemptPolicy)
        if preempting:
            self.cost += option.cost
        else:
            self.cost = max(self.cost, option.cost)
        for placed in option.victims:
            self._victims[placed.run] = (worker, placed)
            if preempting and placed.step.gang:
                gangs.add(placed.run.get_gang_run())
        gangs -= self._preempted_gangs
        self._preempted_gangs |= gangs
        return gangs

    def find_capacity(
        self, worker: worker_state.Worker, demand: work.Resources
    ) -> CapacityOption | None:
        """Return the cheapest way to obtain capacity on a worker."""
        free = self.get_free(worker)
        if free.can_fit(demand):
            return ALREADY_FREE
        match self._policy:
            case FreeOnlyPolicy():
                return None
            case PreemptPolicy(may_preempt=may_preempt):
                return self._find_preemptions(
                    worker, free, demand, may_preempt
                )
            case WaitPolicy():
                return self._find_completions(worker, free, demand)

    def _find_preemptions(
        self,
        worker: worker_state.Worker,
        free: work.Resources,
        demand: work.Resources,
        may_preempt: Callable[[placed_run.PlacedRun], bool],
    ) -> CapacityOption | None:
        candidates: list[PreemptionCandidate] = []
        by_gang: dict[work.GangRun, PreemptionCandidate] = {}
        for placed in worker.runs.values():
            if self._is_ending(placed):
                free = free.plus(placed.reserved)
                continue
            if not may_preempt(placed):
                continue
            if not placed.step.gang:
                lost_work = self._get_lost_work(placed)
                candidates.append(
                    PreemptionCandidate(placed, lost_work, placed.reserved)
                )
                continue
            gang = placed.run.get_gang_run()
            known = by_gang.get(gang)
            if known is not None:
                known.reserved = known.reserved.plus(placed.reserved)
                continue
            # Stopping one member of a gang stops all its members, so the
            # work of all of them is lost.
            lost_work = self._get_lost_work(placed) * placed.step.count
            by_gang[gang] = PreemptionCandidate(
                placed, lost_work, placed.reserved
            )
        candidates.extend(by_gang.values())
        candidates.sort(key=lambda candidate: candidate.lost_work)
        return choose_preemptions(candidates, free, demand)

    def _is_ending(self, placed: placed_run.PlacedRun) -> bool:
        if placed.stop_reason or placed.run in self._victims:
            return True
        return (
            bool(self._preempted_gangs)
            and placed.step.gang
            and placed.run.get_gang_run() in self._preempted_gangs
        )

    def _find_completions(
        self,
        worker: worker_state.Worker,
        free: work.Resources,
        demand: work.Resources,
    ) -> CapacityOption | None:
        completions = []
        for placed in worker.runs.values():
            if placed.run in self._victims:
                free = free.plus(placed.reserved)
            elif placed.stop_reason:
                completions.append((0.0, placed))
            elif not placed.step.lasting:
                completions.append(
                    (placed.get_remaining_seconds(self.now), placed)
                )
        completions.sort(key=lambda completion: completion[0])
        chosen: list[placed_run.PlacedRun] = []
        for wait, placed in completions:
            chosen.append(placed)
            free = free.plus(placed.reserved)
            if free.can_fit(demand):
                return CapacityOption(wait, tuple(chosen))
        return None

    def _get_lost_work(self, placed: placed_run.PlacedRun) -> float:
        unsaved = placed.get_unsaved_seconds(self.now)
        return placed.step.get_core_equivalents() * (unsaved + RESTART_COST_S)


def choose_preemptions(
    candidates: list[PreemptionCandidate],
    free: work.Resources,
    demand: work.Resources,
) -> CapacityOption | None:
    """Choose the runs to preempt so that a demand fits.

    :param candidates: runs that may be preempted, the cheapest first.
    :returns: ``None`` if preempting all candidates is not enough.
    """
    chosen: list[PreemptionCandidate] = []
    for candidate in candidates:
        if free.can_fit(demand):
            break
        chosen.append(candidate)
        free = free.plus(candidate.reserved)
    if not free.can_fit(demand):
        return None
    for candidate in reversed(list(chosen)):
        # A larger candidate chosen later can make cheaper ones unnecessary.
        remaining = free.minus(candidate.reserved)
        if remaining.can_fit(demand):
            chosen.remove(candidate)
            free = remaining
    cost = sum(candidate.lost_work for candidate in chosen)
    return CapacityOption(
        cost, tuple(candidate.placed for candidate in chosen)
    )
