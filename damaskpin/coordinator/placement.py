"""Placement of waiting units on workers, and preemption for them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import idle_plans
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import pass_trace
from damaskpin.coordinator import placed_run
from damaskpin.coordinator import planning
from damaskpin.coordinator import ranking
from damaskpin.coordinator import ready_units
from damaskpin.coordinator import tentative_plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.model import work

LOG = logging.getLogger(__name__)

# Number of waiting units in each rank for which capacity is reserved. More
# reservations would leave too much capacity idle.
MAX_RESERVED_UNITS = 2


class PlacementPass:
    """One placement pass over all waiting units.

    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """

    __slots__ = (
        '_guaranteed',
        '_idle_limit',
        '_idle_planner',
        '_ledger',
        '_now',
        '_planner',
        '_recovery_planner',
        '_reserved_units',
        '_wall',
    )

    def __init__(
        self,
        now: float,
        wall: float,
        ledger: ledgers.RunLedger,
        guaranteed: set[str],
    ) -> None:
        self._now = now
        self._wall = wall
        self._ledger = ledger
        self._guaranteed = guaranteed
        self._reserved_units: dict[int, int] = {}
        usable = [
            worker
            for worker in ledger.workers.values()
            if worker.is_usable(now) and worker.suspect_until <= now
        ]
        unpaused = [w for w in usable if not w.start_pause.is_active(now)]
        reservations: dict[
            work.Lifetime, list[tentative_plan.Reservation]
        ] = {}
        self._planner = planning.Planner(
            now, unpaused, ledger.tickets, guaranteed, reservations, False
        )
        self._idle_limit = idle_limit.IdleLimit(now, ledger)
        self._idle_planner = idle_plans.IdlePlanner(
            now, ledger, self._idle_limit, guaranteed
        )
        self._recovery_planner: planning.Planner | None = None
        if any(w.start_pause.is_unproven() for w in usable):
            self._recovery_planner = planning.Planner(
                now, usable, ledger.tickets, guaranteed, reservations, True
            )

    def place(self, unit: jobs.Unit) -> bool:
        """Start a unit, preempt runs for it or reserve capacity for it.

        :returns: whether more units of the same step should be tried in this
            pass.
        """
        if self._start_idle(unit):
            return True
        if self._planner.has_local_workers(unit):
            if self._start_or_preempt(unit, local=True):
                return True
            wait = self._planner.find_waiting(unit, local=True)
            if wait is not None and ranking.is_worth_waiting_for_local(
                unit, wait.cost, self._now, self._guaranteed
            ):
                return self._reserve_capacity(unit, wait)
        if self._reserve_for_recovery(unit):
            return True
        return self._place_or_reserve(unit, local=False)

    def _start_idle(self, unit: jobs.Unit) -> bool:
        """Start a unit anywhere if its job has been idle for too long.

        :returns: whether the unit was started.
        """
        plan = self._idle_planner.find_plan(unit)
        if plan is None:
            return False
        self._idle_limit.renew_promises(unit, plan)
        unit.job.times.record_idle_start(self._now)
        self._start(unit, plan)
        return True

    def _reserve(
        self,
        unit: jobs.Unit,
        plan: planning.Plan,
        expected_start: float,
        is_firm: bool = False,
    ) -> None:
        """Reserve the capacity of a plan whose unit can't start yet.

        :param is_firm: whether the capacity is reserved after a preemption.
        """
        self._planner.reserve(unit, plan, expected_start)
        is_firm |= unit.job.id in self._guaranteed
        self._idle_limit.record_reservation(
            unit, plan, expected_start, is_firm
        )
        self._ledger.pass_trace.record_reservation(
            unit, plan.workers, expected_start, is_firm
        )

    def _reserve_for_recovery(self, unit: jobs.Unit) -> bool:
        """Reserve local workers that refuse starts, if these recover soon.

        :returns: whether capacity was reserved.
        """
        if (
            self._recovery_planner is None
            or unit.job.id in self._guaranteed
            or not planning.prefers_local_workers(unit)
        ):
            return False
        plan = self._recovery_planner.find_immediate(unit, local=True)
        if plan is None:
            return False
        wait = max(
            worker.start_pause.estimate_wait(self._now)
            for worker in plan.workers
        )
        if not ranking.is_worth_waiting_for_local(
            unit, wait, self._now, self._guaranteed
        ):
            return False
        self._recovery_planner.reserve(unit, plan, self._now + wait)
        self._ledger.pass_trace.record_reservation(
            unit, plan.workers, self._now + wait, False
        )
        return True

    def _place_or_reserve(self, unit: jobs.Unit, local: bool) -> bool:
        """Start a unit, preempt runs for it or reserve capacity for it.

        :param local: whether only workers that run the unit at full speed are
            accepted.
        :returns: whether more units of the same step should be tried in this
            pass.
        """
        if self._start_or_preempt(unit, local):
            return True
        return self._reserve_capacity(
            unit, self._planner.find_waiting(unit, local)
        )

    def _start_or_preempt(self, unit: jobs.Unit, local: bool) -> bool:
        """Start a unit, or obtain capacity for it within its limits.

        Capacity is obtained by preempting runs or by waiting for runs that
        end soon.

        :param local: whether only workers that run the unit at full speed are
            accepted.
        :returns: whether the unit was started or capacity was obtained.
        """
        plan = self._planner.find_immediate(unit, local)
        if plan is not None:
            self._start(unit, plan)
            return True
        budget = ranking.get_preemption_budget(
            unit, self._now, self._wall, self._guaranteed
        )
        if budget <= 0 and not unit.has_preempted():
            return False
        plan = self._planner.find_preempting(unit, local, self._may_preempt)
        if plan is None or plan.cost > max(budget, 0.0):
            return False
        if not self._reserve_expected_capacity(unit, local, plan):
            self._preempt_for(unit, plan)
        return True

    def _reserve_expected_capacity(
        self, unit: jobs.Unit, local: bool, preemption_plan: planning.Plan
    ) -> bool:
        """Reserve capacity that becomes free soon, instead of preempting.

        :param local: whether only workers that run the unit at full speed are
            accepted.
        :param preemption_plan: plan that would preempt runs for the unit.
        :returns: whether capacity was reserved.
        """
        if not preemption_plan.victims:
            return False
        max_wait = ranking.get_max_wait(
            unit, self._now, self._wall, self._guaranteed
        )
        if max_wait <= 0:
            return False
        plan = self._planner.find_waiting(unit, local)
        if plan is None or plan.cost > max_wait:
            return False
        self._reserve(unit, plan, self._now + plan.cost)
        return True

    def _start(self, unit: jobs.Unit, plan: planning.Plan) -> None:
        assignments = [(w.lifetime, w.agent) for w in plan.workers]
        suspect = unit.is_suspect()
        self._idle_limit.record_start(unit)
        unit.job.times.record_start(self._now)
        self._ledger.pass_trace.record_outcome(
            unit, pass_trace.Outcome.STARTED
        )
        runs = unit.job.assign_runs(unit, assignments)
        self._ledger.counts['placed'] += len(runs)
        for run, worker in zip(runs, plan.workers, strict=True):
            worker.add_run(
                placed_run.PlacedRun(
                    run,
                    unit.job,
                    unit.step,
                    unit.step.get_reservation(),
                    unit.job.progress.version,
                    False,
                    self._now,
                    suspect,
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

    def _preempt_for(self, unit: jobs.Unit, plan: planning.Plan) -> None:
        self._reserve(unit, plan, self._now, is_firm=True)
        if not plan.victims:
            return
        LOG.info(
            'runs preempted for a waiting unit',
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
        unit.record_preemption(plan.cost)
        for worker, victim in plan.victims:
            self._ledger.stop_run(
                worker,
                victim,
                lost_work.Cause.PREEMPTED,
                f'preempted for job {unit.job.id}',
            )

    def _reserve_capacity(
        self, unit: jobs.Unit, plan: planning.Plan | None
    ) -> bool:
        """Reserve capacity so that small work does not delay a waiting unit.

        :returns: whether capacity was reserved.
        """
        rank = ranking.get_rank(unit.job, self._guaranteed)
        reserved_units = self._reserved_units.get(rank, 0)
        if plan is None or reserved_units >= MAX_RESERVED_UNITS:
            return False
        self._reserved_units[rank] = reserved_units + 1
        self._reserve(unit, plan, self._now + plan.cost)
        return True

    def _may_preempt(
        self, unit: jobs.Unit, placed: placed_run.PlacedRun
    ) -> bool:
        return ranking.may_preempt(unit, placed, self._guaranteed)


def place_ready_units(
    now: float,
    wall: float,
    ledger: ledgers.RunLedger,
    get_guarantee: Callable[[str], int],
) -> None:
    """Place all ready units in the order of their rank."""
    trace = ledger.pass_trace
    trace.begin(now)
    guaranteed = ranking.find_guaranteed(ledger.jobs.values(), get_guarantee)
    units = ready_units.list_ready_units(now, wall, ledger, guaranteed)
    if not units:
        return
    placement_pass = PlacementPass(now, wall, ledger, guaranteed)
    unplaceable_steps: set[tuple[str, int, int]] = set()
    for unit in units:
        key = unit.get_key()[:3]
        if key in unplaceable_steps:
            trace.record_outcome(unit, pass_trace.Outcome.SKIPPED)
            continue
        trace.record_outcome(unit, pass_trace.Outcome.TRIED)
        if not placement_pass.place(unit) and not unit.is_suspect():
            unplaceable_steps.add(key)
