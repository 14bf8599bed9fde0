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

    A cell is the group of the workers of one region, data centre or rack, or a
    single worker. A gang must run in one cell of the level it requests.

    :ivar broken_workers: names of workers on which every gang fails.
    """

    def __init__(self, trace: traces.Trace) -> None:
        self._workers = {worker.name: worker for worker in trace.workers}
        self._free = {
            worker.name: set(range(worker.accelerators))
            for worker in trace.workers
        }
        self._members_by_job: dict[str, Members] = {}
        self._jobs: dict[str, jobs.Job] = {}
        self._used_by_account: dict[str, int] = {}
        self._lost_workers: set[str] = set()
        self._jobs_with_lost_member: set[str] = set()
        self._accounts = {
            account.name: account for account in trace.config.accounts
        }
        self._tolerated_failures = trace.config.failed_workers
        self._cells = {
            worker.name: {
                level: hardware.get_cell(worker, level)
                for level in hardware.Adjacency
            }
            for worker in trace.workers
        }
        self.broken_workers: set[str] = set()

    def allocate(self, job: jobs.Job, members: Members) -> str | None:
        """Allocate accelerators to a gang.

        :returns: reason why the allocation would break an invariant, or
            ``None`` after the allocation.
        """
        count = sum(len(set(indexes)) for _, indexes in members)
        if count != job.spec.accelerators:
            return (
                f'{count} accelerators allocated for '
                f'{job.spec.accelerators} tasks'
            )
        if len({name for name, _ in members}) != len(members):
            return 'a worker is listed twice'
        for name, indexes in members:
            if name not in self._workers or name in self._lost_workers:
                return f'worker {name} is unknown or lost'
            if not self._free[name].issuperset(indexes):
                return f'accelerators of {name} are in use'
        cells = {self._cells[name][job.spec.adjacency] for name, _ in members}
        if len(cells) != 1:
            return f'workers are not in one {job.spec.adjacency}'
        account = self._accounts[job.account]
        used = self._used_by_account.get(job.account, 0) + count
        if used > account.quota:
            return f'{used} accelerators exceed the quota of {account.quota}'
        self._used_by_account[job.account] = used
        for name, indexes in members:
            self._free[name].difference_update(indexes)
        self._members_by_job[job.id] = members
        self._jobs[job.id] = job
        return None

    def release(self, job_id: str) -> None:
        """Free the accelerators of a gang."""
        job = self._jobs.pop(job_id)
        self._used_by_account[job.account] -= job.spec.accelerators
        self._jobs_with_lost_member.discard(job_id)
        for name, indexes in self._members_by_job.pop(job_id):
            self._free[name].update(indexes)

    def mark_lost(self, name: str) -> None:
        """Mark a worker as lost, which frees no accelerators of its gangs."""
        self._lost_workers.add(name)
        self._jobs_with_lost_member.update(self.list_jobs(name))

    def mark_available(self, name: str) -> hardware.Worker:
        """Mark a lost worker as available again and return it."""
        self._lost_workers.discard(name)
        return self._workers[name]

    def list_jobs(self, name: str) -> list[str]:
        """Return the ids of the jobs that hold accelerators of a worker."""
        return [
            job_id
            for job_id, members in self._members_by_job.items()
            if any(worker == name for worker, _ in members)
        ]

    def has_lost_member(self, job_id: str) -> bool:
        return job_id in self._jobs_with_lost_member

    def list_broken_members(self, job_id: str) -> tuple[str, ...]:
        return tuple(
            name
            for name, _ in self._members_by_job[job_id]
            if name in self.broken_workers
        )

    def count_accelerators(self) -> int:
        """Count the accelerators of the workers that are not lost."""
        return sum(
            worker.accelerators
            for name, worker in self._workers.items()
            if name not in self._lost_workers
        )

    def count_free(self) -> int:
        """Count the free accelerators of the workers that are not lost."""
        return sum(
            len(free)
            for name, free in self._free.items()
            if name not in self._lost_workers
        )

    def get_guarantee(self, job: jobs.Job) -> configs.Guarantee | None:
        """Return the guarantee that a job requests, if the job fits into it.

        :returns: the guarantee, or ``None`` if there is none or if more
            workers have failed than the guarantees allow for.
        """
        account = self._accounts.get(job.account)
        if account is None or not self._tolerates_failures():
            return None
        for guarantee in account.guarantees:
            if guarantee.name != job.spec.shape:
                continue
            if job.spec.accelerators <= guarantee.accelerators:
                return guarantee
        return None

    def _tolerates_failures(self) -> bool:
        """Return whether guarantees allow for the lost and broken workers."""
        failures_by_data_centre: dict[tuple[str, ...], int] = {}
        for name in self._lost_workers | self.broken_workers:
            cell = self._cells[name][hardware.Adjacency.DATA_CENTRE]
            failures_by_data_centre[cell] = (
                failures_by_data_centre.get(cell, 0) + 1
            )
        return all(
            count <= self._tolerated_failures
            for count in failures_by_data_centre.values()
        )

    def count_free_and_unusable(
        self, waiting: Iterable[jobs.Job]
    ) -> tuple[int, int]:
        """Count the free accelerators and those that no waiting gang can use.

        :param waiting: jobs in the queue; a job that would exceed the quota
            of its client account can use no accelerator.
        :returns: number of free accelerators, and how many of them are in
            cells with too few free accelerators for every waiting gang.
        """
        smallest_gangs: dict[hardware.Adjacency, int] = {}
        for job in waiting:
            spec = job.spec
            used = self._used_by_account.get(job.account, 0)
            if used + spec.accelerators > self._accounts[job.account].quota:
                continue
            if spec.accelerators < smallest_gangs.get(spec.adjacency, 1 << 30):
                smallest_gangs[spec.adjacency] = spec.accelerators
        free_by_cell: dict[tuple[str, ...], int] = {}
        free_counts = [
            (name, len(free))
            for name, free in self._free.items()
            if free and name not in self._lost_workers
        ]
        for name, free in free_counts:
            for level in smallest_gangs:
                cell = self._cells[name][level]
                free_by_cell[cell] = free_by_cell.get(cell, 0) + free
        total = unusable = 0
        for name, free in free_counts:
            total += free
            usable = any(
                free_by_cell[self._cells[name][level]] >= size
                for level, size in smallest_gangs.items()
            )
            unusable += 0 if usable else free
        return total, unusable
