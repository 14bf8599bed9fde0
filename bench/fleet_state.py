"""Tracks accelerators in use, independently of the measured policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench import traces
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs

Members = tuple[tuple[str, tuple[int, ...]], ...]


class FleetState:
    """Workers of a trace and the gangs that hold their accelerators.

    :ivar broken: names of workers on which every gang fails.
    """

    def __init__(self, trace: traces.Trace) -> None:
        self._workers = {worker.name: worker for worker in trace.workers}
        self._free = {
            worker.name: set(range(worker.accelerators))
            for worker in trace.workers
        }
        self._held: dict[str, Members] = {}
        self._jobs: dict[str, jobs.Job] = {}
        self._used: dict[str, int] = {}
        self._lost: set[str] = set()
        self._lost_members: set[str] = set()
        self._accounts = {
            account.name: account for account in trace.config.accounts
        }
        self._failed_workers = trace.config.failed_workers
        self._cells = {
            worker.name: {
                level: hardware.get_cell(worker, level)
                for level in hardware.Adjacency
            }
            for worker in trace.workers
        }
        self.broken: set[str] = set()

    def occupy(self, job: jobs.Job, members: Members) -> str | None:
        """Allocate accelerators to a gang.

        :returns: reason why the allocation would break an invariant, or
            ``None`` after the allocation.
        """
        count = sum(len(set(indexes)) for _, indexes in members)
        if count != job.spec.accelerators:
            return f'{count} accelerators for {job.spec.accelerators} tasks'
        if len({name for name, _ in members}) != len(members):
            return 'a worker occurs twice'
        for name, indexes in members:
            if name not in self._workers or name in self._lost:
                return f'worker {name} is gone'
            if not self._free[name].issuperset(indexes):
                return f'accelerators of {name} are taken'
        cells = {self._cells[name][job.spec.adjacency] for name, _ in members}
        if len(cells) != 1:
            return f'not in one {job.spec.adjacency}'
        account = self._accounts[job.account]
        used = self._used.get(job.account, 0) + count
        if used > account.quota:
            return f'{used} accelerators exceed the quota of {account.quota}'
        self._used[job.account] = used
        for name, indexes in members:
            self._free[name].difference_update(indexes)
        self._held[job.id] = members
        self._jobs[job.id] = job
        return None

    def release(self, job_id: str) -> None:
        """Free the accelerators of a gang."""
        job = self._jobs.pop(job_id)
        self._used[job.account] -= job.spec.accelerators
        self._lost_members.discard(job_id)
        for name, indexes in self._held.pop(job_id):
            self._free[name].update(indexes)

    def lose(self, name: str) -> None:
        """Mark a worker as lost, which frees no accelerators of its gangs."""
        self._lost.add(name)
        self._lost_members.update(self.list_jobs(name))

    def restore(self, name: str) -> hardware.Worker:
        """Mark a lost worker as available again and return it."""
        self._lost.discard(name)
        return self._workers[name]

    def list_jobs(self, name: str) -> list[str]:
        """Return the ids of the jobs that hold accelerators of a worker."""
        return [
            job_id
            for job_id, members in self._held.items()
            if any(worker == name for worker, _ in members)
        ]

    def has_lost_member(self, job_id: str) -> bool:
        return job_id in self._lost_members

    def list_broken_members(self, job_id: str) -> tuple[str, ...]:
        return tuple(
            name for name, _ in self._held[job_id] if name in self.broken
        )

    def count_accelerators(self) -> int:
        """Count the accelerators of the workers that are not lost."""
        return sum(
            worker.accelerators
            for name, worker in self._workers.items()
            if name not in self._lost
        )

    def count_free(self) -> int:
        """Count the free accelerators of the workers that are not lost."""
        return sum(
            len(free)
            for name, free in self._free.items()
            if name not in self._lost
        )

    def get_guarantee(self, job: jobs.Job) -> configs.Guarantee | None:
        """Return the guarantee that a job requests, if the job fits into it.

        :returns: the guarantee, or ``None`` if there is none or if more
            workers have failed than the guarantees allow for.
        """
        account = self._accounts.get(job.account)
        if account is None or not self._is_within_failures():
            return None
        for guarantee in account.guarantees:
            if guarantee.name != job.spec.shape:
                continue
            if job.spec.accelerators <= guarantee.accelerators:
                return guarantee
        return None

    def _is_within_failures(self) -> bool:
        """Return whether guarantees allow for the lost and broken workers."""
        centres: dict[tuple[str, ...], int] = {}
        for name in self._lost | self.broken:
            cell = self._cells[name][hardware.Adjacency.DATA_CENTRE]
            centres[cell] = centres.get(cell, 0) + 1
        return all(count <= self._failed_workers for count in centres.values())

    def measure_free(self, waiting: Iterable[jobs.Job]) -> tuple[int, int]:
        """Count the free accelerators and those that no waiting gang can use.

        :param waiting: jobs in the queue; a job that would exceed the quota
            of its client account can use no accelerator.
        :returns: number of free accelerators, and how many of them are in
            cells with too few free accelerators for every waiting gang.
        """
        smallest: dict[hardware.Adjacency, int] = {}
        for job in waiting:
            spec = job.spec
            used = self._used.get(job.account, 0)
            if used + spec.accelerators > self._accounts[job.account].quota:
                continue
            if spec.accelerators < smallest.get(spec.adjacency, 1 << 30):
                smallest[spec.adjacency] = spec.accelerators
        cells: dict[tuple[str, ...], int] = {}
        live = [
            (name, len(free))
            for name, free in self._free.items()
            if free and name not in self._lost
        ]
        for name, free in live:
            for level in smallest:
                cell = self._cells[name][level]
                cells[cell] = cells.get(cell, 0) + free
        total = unusable = 0
        for name, free in live:
            total += free
            usable = any(
                cells[self._cells[name][level]] >= size
                for level, size in smallest.items()
            )
            unusable += 0 if usable else free
        return total, unusable
