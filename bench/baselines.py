"""Baseline scheduling policies with the interface of ``Scheduler``."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import decisions

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    import random

    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs

Members = tuple[tuple[str, tuple[int, ...]], ...]

# A job that exceeds its declared run time is expected to end after this time.
_OVERDUE_SECONDS = 60.0


@dataclasses.dataclass(slots=True)
class _TrackedJob:
    """A waiting or running job.

    :ivar submit_time: time of the submission in seconds.
    :ivar started_at: time of the start in seconds.
    :ivar members: workers and the indexes of their accelerators in use.
    """

    job: jobs.Job
    submit_time: float
    started_at: float = 0.0
    members: Members = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    """Reservation for the first waiting job that does not fit.

    :ivar workers: names of the workers of the reserved cell (see
        ``_Baseline``).
    :ivar reserved_start: expected start of the job in seconds.
    :ivar spare_accelerators: accelerators of the cell that the job does not
        need.
    """

    workers: frozenset[str]
    reserved_start: float
    spare_accelerators: int


class _Baseline:
    """Base class of the baseline policies.

    Jobs are ordered by priority class, then by submission time. Guarantees
    are ignored and accelerators are never reclaimed. Quotas are respected,
    and jobs that can never run are refused, since they would block the queue
    for ever.

    A cell is the group of the workers of one region, data centre or rack, or a
    single worker. A job must fit into one cell of the level it requests.
    """

    def __init__(self, config: configs.Config, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, hardware.Worker] = {}
        self._free_indexes: dict[str, set[int]] = {}
        # Worker names by topology level and cell. The cache is cleared when
        # the workers change.
        self._workers_by_cell: dict[
            hardware.Adjacency, dict[tuple, list[str]]
        ] = {}
        self._waiting: dict[str, _TrackedJob] = {}
        self._running: dict[str, _TrackedJob] = {}
        self._used_by_account: dict[str, int] = {}
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        self._accounts = {account.name: account for account in config.accounts}

    def set_worker(self, now: float, worker: hardware.Worker) -> None:
        occupied = {
            index
            for tracked_job in self._running.values()
            for name, indexes in tracked_job.members
            if name == worker.name
            for index in indexes
        }
        self._workers[worker.name] = worker
        self._free_indexes[worker.name] = (
            set(range(worker.accelerators)) - occupied
        )
        self._workers_by_cell = {}

    def remove_worker(self, now: float, name: str) -> None:
        self._workers.pop(name, None)
        self._free_indexes.pop(name, None)
        self._workers_by_cell = {}

    def submit(self, now: float, job: jobs.Job) -> decisions.Refusal | None:
        account = self._accounts.get(job.account)
        if account is None:
            return decisions.Refusal(job.id, 'unknown client account')
        if job.spec.accelerators > account.quota:
            return decisions.Refusal(job.id, 'larger than the quota')
        if job.spec.accelerators > self._get_largest_cell_size(job):
            return decisions.Refusal(
                job.id, 'larger than any cell of the requested adjacency'
            )
        self._waiting[job.id] = _TrackedJob(job, now - job.age_seconds)
        return None

    def cancel(self, now: float, job_id: str) -> None:
        """Remove a waiting job; a running job is removed by ``finished``."""
        self._waiting.pop(job_id, None)

    def started(self, now: float, job_id: str, attempt: str) -> None:
        self._running[job_id].started_at = now

    def placement_failed(self, now: float, job_id: str, reason: str) -> None:
        self._requeue(self._release(job_id))

    def finished(
        self, now: float, job_id: str, outcome: decisions.Outcome
    ) -> None:
        tracked_job = self._release(job_id)
        lost = outcome.result == decisions.Result.LOST
        if outcome.result == decisions.Result.CHECKPOINTED or (
            lost and tracked_job.job.spec.idempotent
        ):
            self._requeue(tracked_job)

    def explain(self, job_id: str) -> list[str]:
        if job_id in self._waiting:
            return ['waiting']
        return ['running'] if job_id in self._running else []

    def next_wakeup(self, now: float) -> float | None:
        return None

    def _release(self, job_id: str) -> _TrackedJob:
        tracked_job = self._running.pop(job_id)
        self._used_by_account[tracked_job.job.account] -= (
            tracked_job.job.spec.accelerators
        )
        for name, indexes in tracked_job.members:
            if name in self._free_indexes:
                self._free_indexes[name].update(indexes)
        return tracked_job

    def _requeue(self, tracked_job: _TrackedJob) -> None:
        self._waiting[tracked_job.job.id] = _TrackedJob(
            tracked_job.job, tracked_job.submit_time
        )

    def _get_cells(self, level: hardware.Adjacency) -> Iterable[list[str]]:
        """Return the worker names of each cell of a topology level."""
        if not self._workers_by_cell:
            self._workers_by_cell = {level: {} for level in hardware.Adjacency}
            for name in sorted(self._workers):
                worker = self._workers[name]
                for cell_level, names_by_cell in self._workers_by_cell.items():
                    cell = hardware.get_cell(worker, cell_level)
                    names_by_cell.setdefault(cell, []).append(name)
        return self._workers_by_cell[level].values()

    def _get_largest_cell_size(self, job: jobs.Job) -> int:
        return max(
            (
                sum(self._workers[name].accelerators for name in worker_names)
                for worker_names in self._get_cells(job.spec.adjacency)
            ),
            default=0,
        )

    def _list_waiting(self) -> list[_TrackedJob]:
        return sorted(
            self._waiting.values(),
            key=lambda tracked_job: (
                tracked_job.job.spec.priority,
                tracked_job.submit_time,
                tracked_job.job.id,
            ),
        )

    def _is_within_quota(self, job: jobs.Job) -> bool:
        used_accelerators = self._used_by_account.get(job.account, 0)
        return (
            used_accelerators + job.spec.accelerators
            <= self._accounts[job.account].quota
        )

    def _list_free_cells(
        self, job: jobs.Job, excluded_workers: frozenset[str]
    ) -> Iterator[tuple[int, list[str]]]:
        """Yield the number of free accelerators and the workers of each cell.

        Cells with too few free accelerators for the job are left out.

        :param excluded_workers: names of workers that the job must not use.
        """
        for worker_names in self._get_cells(job.spec.adjacency):
            worker_names = [
                name
                for name in worker_names
                if name not in excluded_workers and self._free_indexes[name]
            ]
            free = sum(len(self._free_indexes[name]) for name in worker_names)
            if free >= job.spec.accelerators:
                yield free, worker_names

    def _place_job(
        self, now: float, tracked_job: _TrackedJob, worker_names: Iterable[str]
    ) -> decisions.Place:
        """Place a job on the free accelerators of workers, in their order."""
        needed = tracked_job.job.spec.accelerators
        members = []
        for name in worker_names:
            if needed == 0:
                break
            indexes = tuple(sorted(self._free_indexes[name])[:needed])
            self._free_indexes[name].difference_update(indexes)
            members.append((name, indexes))
            needed -= len(indexes)
        del self._waiting[tracked_job.job.id]
        self._running[tracked_job.job.id] = _TrackedJob(
            tracked_job.job, tracked_job.submit_time, now, tuple(members)
        )
        account = tracked_job.job.account
        used_accelerators = self._used_by_account.get(account, 0)
        self._used_by_account[account] = (
            used_accelerators + tracked_job.job.spec.accelerators
        )
        return decisions.Place(
            tracked_job.job.id, tuple(members), guaranteed=False
        )


class FirstFit(_Baseline):
    """First-fit in strict order: a job that does not fit blocks later ones."""

    def decide(self, now: float) -> list[decisions.Place]:
        places = []
        for tracked_job in self._list_waiting():
            if not self._is_within_quota(tracked_job.job):
                continue
            candidate = next(
                self._list_free_cells(tracked_job.job, frozenset()), None
            )
            if candidate is None:
                break
            places.append(self._place_job(now, tracked_job, candidate[1]))
        return places


class BestFitBackfill(_Baseline):
    """Best-fit with EASY backfill by declared run times.

    Only the first job that does not fit has a reservation. A later job may
    start if it ends before the reserved start or leaves enough accelerators
    for the reservation.
    """

    def decide(self, now: float) -> list[decisions.Place]:
        places = []
        reservation = None
        # Free accelerators only decrease within one call, so a request that
        # did not fit is not tried again.
        failed_requests: set[tuple[int, hardware.Adjacency, bool]] = set()
        for tracked_job in self._list_waiting():
            if not self._is_within_quota(tracked_job.job):
                continue
            spec = tracked_job.job.spec
            ends_before_reservation = (
                reservation is None
                or now + spec.run_seconds <= reservation.reserved_start
            )
            request = (
                spec.accelerators,
                spec.adjacency,
                ends_before_reservation,
            )
            if request in failed_requests:
                continue
            excluded_workers: frozenset[str] = frozenset()
            if (
                not ends_before_reservation
                and reservation.spare_accelerators < spec.accelerators
            ):
                excluded_workers = reservation.workers
            worker_names = self._choose_workers(
                tracked_job.job, excluded_workers
            )
            if worker_names is None:
                failed_requests.add(request)
                if reservation is None:
                    reservation = self._reserve(now, tracked_job.job)
                continue
            place = self._place_job(now, tracked_job, worker_names)
            places.append(place)
            if reservation is not None and not ends_before_reservation:
                reservation = _reduce_spare_accelerators(
                    reservation, place.members
                )
        return places

    def _choose_workers(
        self, job: jobs.Job, excluded_workers: frozenset[str]
    ) -> list[str] | None:
        """Choose workers of the fitting cell with fewest free accelerators."""
        best_candidate = min(
            self._list_free_cells(job, excluded_workers),
            key=lambda candidate: candidate[0],
            default=None,
        )
        if best_candidate is None:
            return None
        needed = job.spec.accelerators
        best_worker = min(
            (
                name
                for name in best_candidate[1]
                if len(self._free_indexes[name]) >= needed
            ),
            key=lambda name: (len(self._free_indexes[name]), name),
            default=None,
        )
        if best_worker is not None:
            return [best_worker]
        return sorted(
            best_candidate[1],
            key=lambda name: (-len(self._free_indexes[name]), name),
        )

    def _reserve(self, now: float, job: jobs.Job) -> _Reservation | None:
        """Reserve the cell in which a job is expected to fit earliest."""
        expected_ends: dict[str, list[tuple[float, int]]] = {}
        for tracked_job in self._running.values():
            end = tracked_job.started_at + tracked_job.job.spec.run_seconds
            end = end if end > now else now + _OVERDUE_SECONDS
            for name, indexes in tracked_job.members:
                expected_ends.setdefault(name, []).append((end, len(indexes)))
        best_candidate = None
        for worker_names in self._get_cells(job.spec.adjacency):
            free = sum(len(self._free_indexes[name]) for name in worker_names)
            reserved_start = now
            for end, count in sorted(
                item
                for name in worker_names
                for item in expected_ends.get(name, ())
            ):
                if free >= job.spec.accelerators:
                    break
                free += count
                reserved_start = end
            if free < job.spec.accelerators:
                continue
            if (
                best_candidate is None
                or reserved_start < best_candidate.reserved_start
            ):
                spare_accelerators = free - job.spec.accelerators
                best_candidate = _Reservation(
                    frozenset(worker_names), reserved_start, spare_accelerators
                )
        return best_candidate


def _reduce_spare_accelerators(
    reservation: _Reservation, members: Members
) -> _Reservation:
    used_accelerators = sum(
        len(indexes)
        for name, indexes in members
        if name in reservation.workers
    )
    return dataclasses.replace(
        reservation,
        spare_accelerators=reservation.spare_accelerators - used_accelerators,
    )
