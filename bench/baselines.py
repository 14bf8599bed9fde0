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
class _Entry:
    """A waiting or running job.

    :ivar submitted: time of the submission in seconds.
    :ivar since: time of the start in seconds.
    :ivar members: workers and the indexes of their accelerators in use.
    """

    job: jobs.Job
    submitted: float
    since: float = 0.0
    members: Members = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Shadow:
    """Reservation for the first waiting job that does not fit.

    :ivar workers: names of the workers of the reserved cell.
    :ivar at: expected start of the job in seconds.
    :ivar spare: accelerators of the cell that the job does not need.
    """

    workers: frozenset[str]
    at: float
    spare: int


class _Baseline:
    """Base class of the baseline policies.

    Jobs are ordered by priority class, then by submission time. Guarantees
    are ignored and accelerators are never reclaimed. Quotas are respected,
    and jobs that can never run are refused, since they would block the queue
    for ever.
    """

    def __init__(self, config: configs.Config, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, hardware.Worker] = {}
        self._free: dict[str, set[int]] = {}
        # Cache of the workers by cell; cleared when the workers change.
        self._cells: dict[hardware.Adjacency, dict[tuple, list[str]]] = {}
        self._waiting: dict[str, _Entry] = {}
        self._running: dict[str, _Entry] = {}
        self._used: dict[str, int] = {}
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        self._accounts = {account.name: account for account in config.accounts}

    def set_worker(self, now: float, worker: hardware.Worker) -> None:
        held = {
            index
            for entry in self._running.values()
            for name, indexes in entry.members
            if name == worker.name
            for index in indexes
        }
        self._workers[worker.name] = worker
        self._free[worker.name] = set(range(worker.accelerators)) - held
        self._cells = {}

    def remove_worker(self, now: float, name: str) -> None:
        self._workers.pop(name, None)
        self._free.pop(name, None)
        self._cells = {}

    def submit(self, now: float, job: jobs.Job) -> decisions.Refusal | None:
        account = self._accounts.get(job.account)
        if account is None:
            return decisions.Refusal(job.id, 'unknown account')
        if job.spec.accelerators > account.quota:
            return decisions.Refusal(job.id, 'larger than the quota')
        if job.spec.accelerators > self._find_largest_cell(job):
            return decisions.Refusal(job.id, 'larger than any cell')
        self._waiting[job.id] = _Entry(job, now - job.age_seconds)
        return None

    def cancel(self, now: float, job_id: str) -> None:
        """Remove a waiting job; a running job is removed by ``finished``."""
        self._waiting.pop(job_id, None)

    def started(self, now: float, job_id: str, attempt: str) -> None:
        self._running[job_id].since = now

    def placement_failed(self, now: float, job_id: str, reason: str) -> None:
        self._requeue(self._release(job_id))

    def finished(
        self, now: float, job_id: str, outcome: decisions.Outcome
    ) -> None:
        entry = self._release(job_id)
        lost = outcome.result == decisions.Result.LOST
        if outcome.result == decisions.Result.CHECKPOINTED or (
            lost and entry.job.spec.idempotent
        ):
            self._requeue(entry)

    def explain(self, job_id: str) -> list[str]:
        if job_id in self._waiting:
            return ['waiting']
        return ['running'] if job_id in self._running else []

    def next_wakeup(self, now: float) -> float | None:
        return None

    def _release(self, job_id: str) -> _Entry:
        entry = self._running.pop(job_id)
        self._used[entry.job.account] -= entry.job.spec.accelerators
        for name, indexes in entry.members:
            if name in self._free:
                self._free[name].update(indexes)
        return entry

    def _requeue(self, entry: _Entry) -> None:
        self._waiting[entry.job.id] = _Entry(entry.job, entry.submitted)

    def _get_cells(self, level: hardware.Adjacency) -> Iterable[list[str]]:
        """Return the worker names of each worker, rack or data centre."""
        if not self._cells:
            self._cells = {level: {} for level in hardware.Adjacency}
            for name in sorted(self._workers):
                worker = self._workers[name]
                for each, cells in self._cells.items():
                    key = hardware.get_cell(worker, each)
                    cells.setdefault(key, []).append(name)
        return self._cells[level].values()

    def _find_largest_cell(self, job: jobs.Job) -> int:
        return max(
            (
                sum(self._workers[name].accelerators for name in names)
                for names in self._get_cells(job.spec.adjacency)
            ),
            default=0,
        )

    def _list_waiting(self) -> list[_Entry]:
        return sorted(
            self._waiting.values(),
            key=lambda entry: (
                entry.job.spec.priority,
                entry.submitted,
                entry.job.id,
            ),
        )

    def _is_within_quota(self, job: jobs.Job) -> bool:
        used = self._used.get(job.account, 0)
        return (
            used + job.spec.accelerators <= self._accounts[job.account].quota
        )

    def _list_free_cells(
        self, job: jobs.Job, excluded: frozenset[str]
    ) -> Iterator[tuple[int, list[str]]]:
        """Yield free accelerators and worker names of cells that fit a job."""
        for names in self._get_cells(job.spec.adjacency):
            names = [
                name
                for name in names
                if name not in excluded and self._free[name]
            ]
            free = sum(len(self._free[name]) for name in names)
            if free >= job.spec.accelerators:
                yield free, names

    def _take(
        self, now: float, entry: _Entry, names: Iterable[str]
    ) -> decisions.Place:
        """Place a job on the free accelerators of workers, in their order."""
        needed = entry.job.spec.accelerators
        members = []
        for name in names:
            if needed == 0:
                break
            indexes = tuple(sorted(self._free[name])[:needed])
            self._free[name].difference_update(indexes)
            members.append((name, indexes))
            needed -= len(indexes)
        del self._waiting[entry.job.id]
        self._running[entry.job.id] = _Entry(
            entry.job, entry.submitted, now, tuple(members)
        )
        account = entry.job.account
        used = self._used.get(account, 0)
        self._used[account] = used + entry.job.spec.accelerators
        return decisions.Place(entry.job.id, tuple(members), guaranteed=False)


class FirstFit(_Baseline):
    """First-fit in strict order: a job that does not fit blocks later ones."""

    def decide(self, now: float) -> list[decisions.Place]:
        places = []
        for entry in self._list_waiting():
            if not self._is_within_quota(entry.job):
                continue
            found = next(self._list_free_cells(entry.job, frozenset()), None)
            if found is None:
                break
            places.append(self._take(now, entry, found[1]))
        return places


class BestFitBackfill(_Baseline):
    """Best-fit with EASY backfill by declared run times.

    Only the first job that does not fit has a reservation. A later job may
    start if it ends before the reserved start or leaves enough accelerators
    for the reservation.
    """

    def decide(self, now: float) -> list[decisions.Place]:
        places = []
        shadow = None
        # Free accelerators only decrease within one call, so a request that
        # did not fit is not tried again.
        failed: set[tuple[int, hardware.Adjacency, bool]] = set()
        for entry in self._list_waiting():
            if not self._is_within_quota(entry.job):
                continue
            spec = entry.job.spec
            short = shadow is None or now + spec.run_seconds <= shadow.at
            kind = (spec.accelerators, spec.adjacency, short)
            if kind in failed:
                continue
            excluded: frozenset[str] = frozenset()
            if not short and shadow.spare < spec.accelerators:
                excluded = shadow.workers
            names = self._choose(entry.job, excluded)
            if names is None:
                failed.add(kind)
                if shadow is None:
                    shadow = self._reserve(now, entry.job)
                continue
            place = self._take(now, entry, names)
            places.append(place)
            if shadow is not None and not short:
                shadow = _reduce_spare(shadow, place.members)
        return places

    def _choose(
        self, job: jobs.Job, excluded: frozenset[str]
    ) -> list[str] | None:
        """Choose workers of the fitting cell with fewest free accelerators."""
        best = min(
            self._list_free_cells(job, excluded),
            key=lambda found: found[0],
            default=None,
        )
        if best is None:
            return None
        needed = job.spec.accelerators
        single = min(
            (name for name in best[1] if len(self._free[name]) >= needed),
            key=lambda name: (len(self._free[name]), name),
            default=None,
        )
        if single is not None:
            return [single]
        return sorted(best[1], key=lambda name: (-len(self._free[name]), name))

    def _reserve(self, now: float, job: jobs.Job) -> _Shadow | None:
        """Reserve the cell in which a job is expected to fit earliest."""
        ends: dict[str, list[tuple[float, int]]] = {}
        for entry in self._running.values():
            end = entry.since + entry.job.spec.run_seconds
            end = end if end > now else now + _OVERDUE_SECONDS
            for name, indexes in entry.members:
                ends.setdefault(name, []).append((end, len(indexes)))
        best = None
        for names in self._get_cells(job.spec.adjacency):
            free = sum(len(self._free[name]) for name in names)
            at = now
            for end, count in sorted(
                item for name in names for item in ends.get(name, ())
            ):
                if free >= job.spec.accelerators:
                    break
                free += count
                at = end
            if free < job.spec.accelerators:
                continue
            if best is None or at < best.at:
                spare = free - job.spec.accelerators
                best = _Shadow(frozenset(names), at, spare)
        return best


def _reduce_spare(shadow: _Shadow, members: Members) -> _Shadow:
    used = sum(
        len(indexes) for name, indexes in members if name in shadow.workers
    )
    return dataclasses.replace(shadow, spare=shadow.spare - used)
