"""Limit on the time for which a job waits for a better place.

A job waits for the rack of its data, or beside capacity that is reserved for
larger work, because it then ends sooner or holds up less. That is no reason to
leave it with nothing running for long while most of the service is idle.

It never takes capacity that is reserved for a guarantee or after a preemption.
It takes capacity that is reserved for an earlier job only once that job should
have started, or while no new jobs arrive. A large job would otherwise wait
without end behind small ones, and preempt the same ones again and again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import tentative_plan
from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import planning
    from damaskpin.coordinator import worker_state

# Age in seconds from which a job must not stay idle, and the time in seconds
# for which its next unit may still be idle then.
MIN_AGE_S = 10.0
MAX_IDLE_S = 1.0

# Time in seconds for which a run counts as at work after its worker last
# listed it, or after its placement. It allows for a start and for a report
# that is lost.
MAX_UNHEARD_S = 3.0

# Time in seconds by which the start of an earlier job may be late before idle
# jobs may use its capacity. Estimates of the runs that it waits for are often
# too short.
MAX_DELAY_S = 3.0

# Time in seconds without new jobs after which idle jobs no longer leave
# capacity to earlier ones. The jobs that are left put these off for a limited
# time only.
QUIET_PERIOD_S = 8.0

# Share of a service's capacity from which its reservations always hold.
MAX_USED_SHARE = 0.5

# Room that a unit must find, as a multiple of its demand.
ROOM_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _ReservedUnit:
    """A unit for which capacity is reserved.

    :ivar is_firm: whether no idle job may use the capacity.
    """

    unit: jobs.Unit
    plan: planning.Plan
    expected_start: float
    is_firm: bool

    def is_overdue(self, now: float) -> bool:
        """Return whether the unit should have started some time ago."""
        return now > self.unit.get_promised_start() + MAX_DELAY_S


class IdleLimit:
    """Tells which jobs have waited for too long, in one placement pass.

    All durations are those of the coordinator's steady clock, because the Unix
    times of the entries differ and may jump.
    """

    __slots__ = (
        '_ledger',
        '_now',
        '_reserved_units',
        '_used_shares',
        '_working_jobs',
    )

    def __init__(self, now: float, ledger: ledgers.RunLedger) -> None:
        self._now = now
        self._ledger = ledger
        self._used_shares: dict[str, float] = {}
        self._working_jobs: set[str] | None = None
        self._reserved_units: list[_ReservedUnit] = []

    def is_exceeded(self, unit: jobs.Unit) -> bool:
        """Return whether a unit should start wherever there is room."""
        idle = self._now - unit.ready_since
        if idle < MAX_IDLE_S:
            return False
        if max(self._now - unit.get_due_since(), idle) < MIN_AGE_S:
            return False
        if unit.step.lasting:
            # Each of its items is owed, also in a busy service.
            return True
        if self._is_at_work(unit.job):
            return False
        service = unit.job.submission.terms.service
        return self.get_used_share(service) < MAX_USED_SHARE

    def is_quiet(self) -> bool:
        """Return whether no job has been accepted for some time."""
        return self._now - self._ledger.last_arrival >= QUIET_PERIOD_S

    def get_used_share(self, service: str) -> float:
        """Return the share of a service's capacity that runs use.

        Only usable workers count. The runs of others stay in the books until
        they have certainly ended.
        """
        share = self._used_shares.get(service)
        if share is None:
            share = measure_used_share(
                worker
                for worker in list_workers(self._ledger, service)
                if worker.is_usable(self._now)
            )
            self._used_shares[service] = share
        return share

    def record_start(self, unit: jobs.Unit) -> None:
        """Record that the job of a unit is no longer idle."""
        if self._working_jobs is not None:
            self._working_jobs.add(unit.job.id)

    def record_reservation(
        self,
        unit: jobs.Unit,
        plan: planning.Plan,
        expected_start: float,
        is_firm: bool,
    ) -> None:
        """Record capacity that is reserved for a waiting unit.

        :param expected_start: time at which the unit is expected to start, in
            seconds.
        :param is_firm: whether no idle job may use the capacity.
        """
        unit.promise_start(expected_start)
        self._reserved_units.append(
            _ReservedUnit(unit, plan, expected_start, is_firm)
        )

    def list_heeded_reservations(
        self, unit: jobs.Unit
    ) -> dict[work.Lifetime, list[tentative_plan.Reservation]]:
        """Return the reservations that a unit of an idle job heeds."""
        reservations: dict[
            work.Lifetime, list[tentative_plan.Reservation]
        ] = {}
        for reserved in self._reserved_units:
            if not self._is_heeded(reserved, unit):
                continue
            reservation = tentative_plan.Reservation(
                reserved.unit.step.get_reservation(), reserved.expected_start
            )
            for worker in reserved.plan.workers:
                reservations.setdefault(worker.lifetime, []).append(
                    reservation
                )
        return reservations

    def renew_promises(self, unit: jobs.Unit, plan: planning.Plan) -> None:
        """Expect later starts of the units whose capacity a plan uses.

        A unit that is overdue is put off by one other unit at a time.

        :param unit: unit of an idle job that starts by the plan.
        """
        used = {worker.lifetime for worker in plan.workers}
        for reserved in self._reserved_units:
            if self._is_heeded(reserved, unit):
                continue
            if any(w.lifetime in used for w in reserved.plan.workers):
                reserved.unit.forget_promised_start()

    def _is_heeded(self, reserved: _ReservedUnit, unit: jobs.Unit) -> bool:
        """Return whether a unit of an idle job leaves capacity to another."""
        if reserved.is_firm:
            return True
        if get_due_time(reserved.unit) > get_due_time(unit):
            return False
        return not (reserved.is_overdue(self._now) or self.is_quiet())

    def _is_at_work(self, job: jobs.Job) -> bool:
        if self._working_jobs is None:
            self._working_jobs = {
                placed.run.item.job
                for worker in self._ledger.workers.values()
                for placed in worker.runs.values()
                if is_at_work(self._now, worker, placed)
            }
        return job.id in self._working_jobs


def is_at_work(
    now: float, worker: worker_state.Worker, placed: placed_run.PlacedRun
) -> bool:
    """Return whether a run works, by what was last heard of its worker.

    The books keep runs that may exist, also where nobody has heard of them
    for long.
    """
    if placed.stop_reason:
        return False
    heard = placed.last_listed or placed.placed_at
    if worker.silence:
        # The agent repeats the lists that it has read before.
        heard = min(heard, now - worker.silence)
    return now - heard <= MAX_UNHEARD_S


def get_due_time(unit: jobs.Unit) -> float:
    """Return the Unix time since which a unit's job should have run."""
    submission = unit.job.submission
    if submission.schedule is None:
        return submission.accepted
    return submission.schedule.get_due_time(unit.occurrence)


def list_workers(
    ledger: ledgers.RunLedger, service: str
) -> list[worker_state.Worker]:
    """Return the workers of a service."""
    return [
        worker
        for worker in ledger.workers.values()
        if worker.profile is not None and worker.profile.service == service
    ]


def measure_used_share(workers: Iterable[worker_state.Worker]) -> float:
    """Return the share of the workers' capacity in use, in core equivalents.

    Accelerators count as the cores that they cost as much as.
    """
    capacity = 0
    used = 0
    for worker in workers:
        if worker.profile is None:
            continue
        total = count_core_equivalents(worker.profile.capacity)
        capacity += total
        used += total - count_core_equivalents(worker.free_capacity)
    return used / max(capacity, 1)


def count_core_equivalents(resources: work.Resources) -> int:
    """Return processors and accelerators in thousandths of a core."""
    accelerators = resources.accelerators * work.CORES_PER_ACCELERATOR * 1000
    return resources.cpu + accelerators


def has_ample_room(
    workers: Iterable[worker_state.Worker], unit: jobs.Unit
) -> bool:
    """Return whether a unit finds room several times over."""
    demand = unit.step.get_reservation()
    needed = ROOM_FACTOR * len(unit.indexes)
    for worker in workers:
        if unit.step.label and (
            worker.profile is None
            or unit.step.label not in worker.profile.labels
        ):
            continue
        free = worker.free_capacity
        while needed and free.can_fit(demand):
            free = free.minus(demand)
            needed -= 1
    return not needed
