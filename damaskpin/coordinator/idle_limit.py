"""Limit on the time for which a job waits for a better place.

A job waits for the rack of its data, or beside capacity that is reserved for
larger work, because it then ends sooner or holds up less. That is no reason to
leave it with nothing running for long while most of the service is idle.

It takes capacity that is reserved for a guarantee or after a preemption only
once it has been reserved for long, and capacity that is reserved for an
earlier job once that job should have started, or while no new jobs arrive.
A large job would otherwise wait without end behind small ones, and preempt the
same ones again and again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import free_room
from damaskpin.coordinator import tentative_plan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import planning
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work

# Age in seconds from which a job must not stay idle, and the time in seconds
# for which its next unit may still be idle then.
MIN_AGE_S = 10.0
MAX_IDLE_S = 1.0

# Time in seconds for which a run counts as at work after its worker last
# listed it, or after its placement. It allows for a start and for a report
# that is lost.
MAX_UNHEARD_S = 3.0

# Time in seconds for which a start by this limit counts as at work if earlier
# starts of its job have come to nothing for longer than that. Other starts do
# not count then: of a job with many work items, one is always new.
MAX_START_S = 1.0

# Time in seconds by which the start of an earlier job may be late before idle
# jobs may use its capacity. Estimates of the runs that it waits for are often
# too short.
MAX_DELAY_S = 3.0

# Time in seconds for which capacity is reserved for a guarantee or after a
# preemption before idle jobs may use it, also if the start is expected later:
# guaranteed work can stop theirs once it can start. It is about twice the time
# within which guaranteed work has to start.
MAX_FIRM_DELAY_S = 6.0

# Time in seconds without new jobs after which idle jobs no longer leave
# capacity to earlier ones. The jobs that are left put these off for a limited
# time only.
QUIET_PERIOD_S = 8.0

# Share of a service's capacity from which its reservations always hold.
MAX_USED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _ReservedUnit:
    """A unit for which capacity is reserved.

    :ivar is_firm: whether it is reserved for a guarantee or after a
        preemption.
    """

    unit: jobs.Unit
    plan: planning.Plan
    expected_start: float
    is_firm: bool

    def is_overdue(self, now: float) -> bool:
        """Return whether idle jobs may use the capacity by now."""
        max_delay = MAX_FIRM_DELAY_S if self.is_firm else MAX_DELAY_S
        return now > self.unit.get_promised_start() + max_delay


class IdleLimit:
    """Tells which jobs have waited for too long, in one placement pass.

    All durations are those of the coordinator's steady clock, because the Unix
    times of the entries differ and may jump.
    """

    __slots__ = (
        '_ledger',
        '_listed_room',
        '_now',
        '_reserved_units',
        '_usable_room',
        '_working_jobs',
    )

    def __init__(self, now: float, ledger: ledgers.RunLedger) -> None:
        self._now = now
        self._ledger = ledger
        self._usable_room: free_room.FreeRoom | None = None
        self._listed_room: free_room.FreeRoom | None = None
        self._working_jobs: set[str] | None = None
        self._reserved_units: list[_ReservedUnit] = []

    def is_exceeded(self, unit: jobs.Unit) -> bool:
        """Return whether a unit should start wherever there is room."""
        if self.measure_idle(unit) < MAX_IDLE_S:
            return False
        if self._now - unit.get_due_since() < MIN_AGE_S:
            return False
        if unit.step.lasting:
            # Each of its items is owed, also in a busy service.
            return True
        if self._is_at_work(unit.job):
            return False
        service = unit.job.submission.terms.service
        return self.get_used_share(service) < MAX_USED_SHARE

    def measure_idle(self, unit: jobs.Unit) -> float:
        """Return the seconds since the job of a unit last had a run at work.

        Starts that come to nothing make no difference. Each work item of a
        lasting step counts by itself.
        """
        times = unit.job.times
        idle_since = times.get_job_idle_since(unit.occurrence)
        if unit.step.lasting:
            unit_idle_since = times.get_unit_idle_since(unit.get_key()[1:])
            idle_since = min(idle_since, unit_idle_since)
        return self._now - idle_since

    def is_quiet(self) -> bool:
        """Return whether no job has been accepted for some time."""
        return self._now - self._ledger.last_arrival >= QUIET_PERIOD_S

    def get_used_share(self, service: str) -> float:
        """Return the share of a service's capacity that listed runs use.

        Only usable workers count.
        """
        if self._usable_room is None:
            self._usable_room = free_room.FreeRoom(
                list_listed_room(
                    self._now,
                    (
                        worker
                        for worker in self._ledger.workers.values()
                        if worker.is_usable(self._now)
                    ),
                )
            )
        return self._usable_room.get_used_share(service)

    def has_ample_room(self, unit: jobs.Unit) -> bool:
        """Return whether a unit finds room several times over by the lists.

        Where it may start is decided by the books.
        """
        if self._listed_room is None:
            self._listed_room = free_room.FreeRoom(
                list_listed_room(self._now, self._ledger.workers.values())
            )
        service = unit.job.submission.terms.service
        return bool(
            self._listed_room.has_ample_room(
                service, unit.step, len(unit.indexes)
            )
        )

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
        :param is_firm: whether it is reserved for a guarantee or after a
            preemption.
        """
        unit.promise_start(self._now if is_firm else expected_start)
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
            return not reserved.is_overdue(self._now)
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
    if not placed.last_listed and not placed.confirmed:
        times = placed.job.times
        is_idle_start = placed.placed_at == times.last_idle_start
        if is_idle_start and now - heard <= MAX_START_S:
            return True
        heard = min(heard, times.starting_since)
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


def measure_used_share(
    now: float, ledger: ledgers.RunLedger, service: str
) -> float:
    """Return the share of a service in use by the books.

    Only usable workers count. The runs of others stay in the books until they
    have certainly ended.
    """
    room = free_room.FreeRoom(
        free_room.FreeWorker(worker.profile, worker.free_capacity)
        for worker in ledger.workers.values()
        if worker.profile is not None and worker.is_usable(now)
    )
    return room.get_used_share(service)


def list_listed_room(
    now: float, workers: Iterable[worker_state.Worker]
) -> list[free_room.FreeWorker]:
    """Return the room on workers that is free by their own lists.

    Runs that may exist although no list has them take capacity in the books
    only. New starts count as listed for some time. Draining workers and those
    whose lists are not known are left out.
    """
    room = []
    for worker in workers:
        profile = worker.profile
        if profile is None or profile.draining or not worker.has_run_lists:
            continue
        free = profile.capacity
        for placed in worker.runs.values():
            if is_listed(now, placed):
                free = free.minus(placed.reserved)
        room.append(free_room.FreeWorker(profile, free))
    return room


def is_listed(now: float, placed: placed_run.PlacedRun) -> bool:
    """Return whether a worker lists a run, or will soon as it was placed."""
    if placed.last_listed:
        return not placed.missing_since
    return not placed.stop_reason and now - placed.placed_at <= MAX_START_S
