"""Search for workers on which a unit can start.

A unit starts at once, after preemption, or after other runs have ended.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import candidates as candidate_queues
from damaskpin.coordinator import refusals
from damaskpin.coordinator import tentative_plan
from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

    MayPreempt = Callable[[jobs.Unit, placed_run.PlacedRun], bool]

# A unit may use capacity that is reserved for another unit if its estimated
# run time, multiplied by this factor, ends before the other unit can start.
# The factor allows for estimates that are too short.
BACKFILL_FACTOR = 1.2


@dataclasses.dataclass(slots=True)
class Plan:
    """Workers chosen for a unit.

    :ivar workers: a worker for each index of the unit.
    :ivar victims: runs to preempt or to wait for, with their workers.
    :ivar cost: core-seconds of work lost by preemption, or seconds to wait.
    :ivar unused_share: share of the workers that stays free; a smaller value
        causes less fragmentation.
    """

    workers: list[worker_state.Worker]
    victims: list[tuple[worker_state.Worker, placed_run.PlacedRun]]
    cost: float
    unused_share: float

    def get_sort_key(self) -> tuple[float, bool, int, float]:
        """Return the key for sorting plans; the smallest is the best plan."""
        unproven = any(w.start_pause.is_unproven() for w in self.workers)
        worker_count = len({w.lifetime for w in self.workers})
        return (self.cost, unproven, worker_count, self.unused_share)


class Planner:
    """Finds workers for units, one unit after the other in rank order.

    :param workers: workers that may take new work.
    :param tickets: permissions of the advisor to run steps on workers.
    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    :param reservations: reserved capacity by worker, which is extended.
    :param includes_refusing: whether the plans may use workers that can't get
        a unit now because they have refused starts.
    :param isolates_suspects: whether suspects of crashes and other units stay
        off the workers on which the other kind was started lately.
    """

    __slots__ = (
        '_guaranteed',
        '_isolates_suspects',
        '_limits_units',
        '_now',
        '_reservations',
        '_suitable',
        '_tickets',
        '_workers',
        '_workers_by_gang',
    )

    def __init__(
        self,
        now: float,
        workers: list[worker_state.Worker],
        tickets: advice.Tickets,
        guaranteed: set[str],
        reservations: dict[work.Lifetime, list[tentative_plan.Reservation]],
        includes_refusing: bool,
        isolates_suspects: bool = True,
    ) -> None:
        self._now = now
        self._isolates_suspects = isolates_suspects
        self._guaranteed = guaranteed
        self._limits_units = not includes_refusing and any(
            worker.start_pause.is_unproven() for worker in workers
        )
        self._tickets = tickets
        self._workers = workers
        self._reservations = reservations
        self._suitable: dict[
            tuple[object, ...], list[worker_state.Worker]
        ] = {}
        self._workers_by_gang: (
            dict[work.GangRun, list[worker_state.Worker]] | None
        ) = None

    def reserve(
        self, unit: jobs.Unit, plan: Plan, expected_start: float
    ) -> None:
        """Reserve the capacity of a plan whose unit can't start yet.

        :param expected_start: time at which the capacity is expected to be
            free, in seconds.
        """
        reservation = tentative_plan.Reservation(
            unit.step.get_reservation(), expected_start
        )
        for worker in plan.workers:
            self._reservations.setdefault(worker.lifetime, []).append(
                reservation
            )

    def has_local_workers(self, unit: jobs.Unit) -> bool:
        """Return whether there are workers that run the unit at full speed.

        Work runs faster in the rack of its data, and a gang within one rack.
        Returns false for units whose speed does not depend on the rack.
        """
        if not prefers_local_workers(unit):
            return False
        return bool(list_local_groups(unit, self._list_eligible(unit)))

    def find_immediate(self, unit: jobs.Unit, local: bool) -> Plan | None:
        """Return the best plan that starts the unit at once.

        :param local: whether only workers that run the unit at full speed are
            accepted.
        """
        return self._find_plan(unit, local, tentative_plan.FREE_ONLY)

    def find_preempting(
        self, unit: jobs.Unit, local: bool, may_preempt: MayPreempt
    ) -> Plan | None:
        """Return the plan whose preemptions lose the least work.

        :param local: whether only workers that run the unit at full speed are
            accepted.
        :param may_preempt: tells whether a run may be preempted for the unit.
        """
        policy = tentative_plan.PreemptPolicy(
            lambda placed: may_preempt(unit, placed)
        )
        return self._find_plan(unit, local, policy)

    def find_waiting(self, unit: jobs.Unit, local: bool) -> Plan | None:
        """Return the plan that can start first without preemption.

        :param local: whether only workers that run the unit at full speed are
            accepted.
        """
        return self._find_plan(unit, local, tentative_plan.WAIT)

    def _find_plan(
        self, unit: jobs.Unit, local: bool, policy: tentative_plan.Policy
    ) -> Plan | None:
        eligible = self._list_eligible(unit)
        groups = list_local_groups(unit, eligible) if local else [eligible]
        return self._choose_best_plan(unit, groups, policy)

    def _list_eligible(self, unit: jobs.Unit) -> list[worker_state.Worker]:
        """Return the workers on which a unit may be planned now."""
        suitable = self._list_suitable(unit)
        if not self._limits_units:
            return suitable
        eligible = [w for w in suitable if refusals.may_take_unit(w)]
        if unit.job.id not in self._guaranteed:
            return eligible
        preferred = refusals.list_for_guaranteed(self._now, eligible)
        reserved = unit.step.get_reservation()
        if count_fitting_items(preferred, reserved) < len(unit.indexes):
            return eligible
        return preferred

    def _list_suitable(self, unit: jobs.Unit) -> list[worker_state.Worker]:
        """Return the workers that may run a unit, cached during a pass."""
        terms = unit.job.submission.terms
        key: tuple[object, ...] = (
            terms.service,
            unit.step.label,
            unit.step.get_reservation(),
            advice.make_step_key(unit) if terms.advice is not None else None,
        )
        cached = self._suitable.get(key)
        if cached is None:
            cached = self._find_suitable(unit)
            self._suitable[key] = cached
        return cached

    def _find_suitable(self, unit: jobs.Unit) -> list[worker_state.Worker]:
        terms = unit.job.submission.terms
        reserved = unit.step.get_reservation()
        suitable = []
        for worker in self._workers:
            profile = worker.profile
            if profile is None or profile.service != terms.service:
                continue
            if unit.step.label and unit.step.label not in profile.labels:
                continue
            if not profile.capacity.can_fit(reserved):
                continue
            if terms.advice is not None and not self._tickets.get(
                self._now, advice.make_step_key(unit), worker.lifetime
            ):
                continue
            suitable.append(worker)
        return suitable

    def _choose_best_plan(
        self,
        unit: jobs.Unit,
        groups: list[list[worker_state.Worker]],
        policy: tentative_plan.Policy,
    ) -> Plan | None:
        best = None
        for group in groups:
            plan = self._plan_on_group(unit, group, policy)
            if plan is None:
                continue
            if best is None or plan.get_sort_key() < best.get_sort_key():
                best = plan
        return best

    def _plan_on_group(
        self,
        unit: jobs.Unit,
        group: list[worker_state.Worker],
        policy: tentative_plan.Policy,
    ) -> Plan | None:
        unit_end = self._now + unit.step.estimate * BACKFILL_FACTOR
        allocation = tentative_plan.TentativePlan(
            self._now, unit_end, self._reservations, policy
        )
        demand = unit.step.get_reservation()
        candidate_queue = candidate_queues.CandidateQueue(
            unit, group, allocation, self._isolates_suspects
        )
        chosen: list[worker_state.Worker] = []
        unused_share = 0.0
        for _ in unit.indexes:
            candidate = candidate_queue.pop_best()
            if candidate is None:
                return None
            unused_share += candidate.unused_share
            chosen.append(candidate.worker)
            gangs = allocation.apply_capacity_option(
                candidate.worker, candidate.capacity_option
            )
            allocation.allocate(candidate.worker, demand)
            candidate_queue.refresh(candidate.worker)
            for gang in gangs:
                for worker in self._find_members(gang):
                    candidate_queue.refresh(worker)
        return Plan(
            chosen,
            allocation.list_victims(),
            allocation.cost,
            unused_share,
        )

    def _find_members(self, gang: work.GangRun) -> list[worker_state.Worker]:
        """Return the workers that run members of a gang."""
        if self._workers_by_gang is None:
            self._workers_by_gang = {}
            for worker in self._workers:
                for placed in worker.runs.values():
                    if not placed.step.gang:
                        continue
                    members = self._workers_by_gang.setdefault(
                        placed.run.get_gang_run(), []
                    )
                    if worker not in members:
                        members.append(worker)
        return self._workers_by_gang.get(gang, [])


def prefers_local_workers(unit: jobs.Unit) -> bool:
    """Return whether the speed of a unit depends on the racks it gets."""
    step = unit.step
    return bool(step.data_rack) or (step.gang and step.same_rack)


def list_local_groups(
    unit: jobs.Unit, eligible: list[worker_state.Worker]
) -> list[list[worker_state.Worker]]:
    """Return the groups of workers that could run a unit at full speed."""
    if not prefers_local_workers(unit):
        return [eligible]
    step = unit.step
    racks: dict[str, list[worker_state.Worker]] = {}
    for worker in eligible:
        if worker.profile is None:
            continue
        rack = worker.profile.rack
        if step.data_rack and rack != step.data_rack:
            continue
        racks.setdefault(rack, []).append(worker)
    reserved = step.get_reservation()
    count = len(unit.indexes)
    return [
        rack
        for rack in racks.values()
        if count_fitting_items(rack, reserved) >= count
    ]


def count_fitting_items(
    workers: list[worker_state.Worker], demand: work.Resources
) -> int:
    """Return how many work items fit on the workers when they are idle."""
    total = 0
    for worker in workers:
        if worker.profile is not None:
            total += work.count_fits(worker.profile.capacity, demand)
    return total
