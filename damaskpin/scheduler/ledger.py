"""Records all known jobs and the accelerators that they use."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from damaskpin.scheduler import bindings
from damaskpin.scheduler import decisions
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import reclaim
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs
    from damaskpin.scheduler import allocations
    from damaskpin.scheduler import shapes

# Number of jobs whose history is kept, and lines kept for each job. The oldest
# are dropped first.
HISTORY_JOBS = 5000
HISTORY_LINES = 20


class Ledger:
    """Consistent record of jobs, accelerators, bindings and accounts.

    :ivar used: accelerators in use or claimed, by account.
    :ivar running: accelerators in use by placed jobs, by account.
    :ivar borrowers: placed jobs that use no guaranteed shape, by account and
        job id, in order of their placement.
    :ivar claims: jobs that hold accelerators until they are all free, by job
        id, the oldest first.
    """

    __slots__ = (
        '_history',
        '_sequence',
        'accounts',
        'bindings',
        'borrowers',
        'claims',
        'entries',
        'queue',
        'running',
        'topology',
        'used',
    )

    def __init__(self) -> None:
        self.topology = topologies.Topology()
        self.bindings = bindings.Bindings(self.topology)
        self.queue = queues.Queue()
        self.entries: dict[str, queues.JobEntry] = {}
        self.claims: dict[str, queues.JobEntry] = {}
        self.accounts: dict[str, configs.Account] = {}
        self.used: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.borrowers: dict[str, dict[str, queues.JobEntry]] = {}
        self._history: collections.OrderedDict[str, collections.deque[str]] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def add(self, now: float, job: jobs.Job, age: float) -> queues.JobEntry:
        """Add a job to the ledger, but not yet to the queue.

        :param age: seconds since the submission of the job.
        """
        self._sequence += 1
        entry = queues.JobEntry(job, now - age, self._sequence)
        self.entries[job.id] = entry
        return entry

    def enqueue(self, now: float, entry: queues.JobEntry) -> None:
        """Add a job to the queue."""
        entry.state = queues.State.QUEUED
        self.queue.add(entry, now)

    def claim(
        self,
        entry: queues.JobEntry,
        allocation: allocations.Allocation,
        waiting_for: tuple[str, ...],
    ) -> None:
        """Hold accelerators for a queued job until they are all free.

        :param waiting_for: ids of the jobs that must stop first.
        """
        self.queue.remove(entry)
        entry.state = queues.State.CLAIMED
        entry.allocation = allocation
        entry.waiting_for = waiting_for
        for node, count in allocation.items():
            self.topology.hold(node, count)
        self._adjust_sum(self.used, entry, 1)
        self.claims[entry.job.id] = entry

    def drop_claim(self, now: float, entry: queues.JobEntry) -> None:
        """Release the accelerators that a job claimed, and requeue the job."""
        self._release_claim(entry)
        self._adjust_sum(self.used, entry, -1)
        self._release_shape_instance(entry)
        entry.allocation = {}
        entry.waiting_for = ()
        self.enqueue(now, entry)

    def is_ready(self, entry: queues.JobEntry) -> bool:
        """Return whether a claim's accelerators and quota are free."""
        account = entry.job.account
        size = entry.job.spec.accelerators
        account_config = self.accounts.get(account)
        running = self.running.get(account, 0)
        if (
            account_config is not None
            and running + size > account_config.quota
        ):
            return False
        return all(
            node.unused >= count and node.accepts_jobs()
            for node, count in entry.allocation.items()
        )

    def place(self, now: float, entry: queues.JobEntry) -> decisions.Place:
        """Place a job on its claimed accelerators, which must be free."""
        self._release_claim(entry)
        members = []
        for node, count in entry.allocation.items():
            indexes = tuple(
                index for index, user in enumerate(node.slots) if user is None
            )[:count]
            for index in indexes:
                self.topology.occupy(node, index, entry.job.id)
            members.append((node.name, indexes))
        entry.members = tuple(members)
        entry.state = queues.State.PLACED
        entry.started = now
        self._adjust_sum(self.running, entry, 1)
        self._record_borrower(entry)
        guaranteed = entry.shape_instance is not None
        waited_for = entry.waiting_for
        entry.waiting_for = ()
        return decisions.Place(
            entry.job.id, entry.members, guaranteed, waited_for
        )

    def stop(
        self, now: float, victim: queues.JobEntry, reason: str
    ) -> decisions.Reclaim:
        """Mark a borrower as stopping and return the decision."""
        victim.state = queues.State.STOPPING
        victim.reclaim_count += 1
        self.add_history(now, victim.job.id, f'reclaimed: {reason}')
        return decisions.Reclaim(
            victim.job.id, reclaim.CHECKPOINT_GRACE_SECONDS, reason
        )

    def record_running_job(
        self,
        entry: queues.JobEntry,
        members: decisions.Members,
        started: float,
    ) -> None:
        """Record the accelerators and start of a job that already runs."""
        allocation: allocations.Allocation = {}
        for name, indexes in members:
            node = self.topology.nodes[name]
            allocation[node] = allocation.get(node, 0) + len(indexes)
            for index in indexes:
                self.topology.occupy(node, index, entry.job.id)
        entry.allocation = allocation
        entry.members = members
        entry.state = queues.State.RUNNING
        entry.worker_failed = not all(node.alive for node in allocation)
        entry.started = started
        self._adjust_sum(self.used, entry, 1)
        self._adjust_sum(self.running, entry, 1)
        self._record_borrower(entry)

    def release_placement(self, entry: queues.JobEntry) -> None:
        """Release the accelerators, quota and shape of a placed job."""
        self.topology.release(entry.members, entry.job.id)
        self._adjust_sum(self.used, entry, -1)
        self._adjust_sum(self.running, entry, -1)
        borrowers = self.borrowers.get(entry.job.account)
        if borrowers is not None:
            borrowers.pop(entry.job.id, None)
        self._release_shape_instance(entry)
        entry.allocation = {}
        entry.members = ()
        entry.backfilled = False
        entry.worker_failed = False

    def handle_worker_change(self, node: topologies.Node) -> None:
        """Update jobs and bindings after a worker failed or returned."""
        for job_id in node.slots:
            if job_id is None:
                continue
            entry = self.entries[job_id]
            entry.worker_failed = not all(
                member.alive for member in entry.allocation
            )
        self.bindings.handle_worker_change(node)

    def delete_removed_workers(self, removed_before: float) -> None:
        """Delete unused workers that went out of service before a time."""
        for node in list(self.topology.get_failed()):
            if node.alive or node.removed_at > removed_before:
                continue
            if node.bound or node.held or node.unused < node.size:
                continue
            self.topology.delete_worker(node)
            self.bindings.handle_worker_change(node)

    def drop_borrowed_claims(
        self, now: float, allocation: allocations.Allocation
    ) -> None:
        """Drop the claims of borrowers on workers that a guarantee needs."""
        for entry in list(self.claims.values()):
            if entry.shape_instance is not None:
                continue
            if any(node in allocation for node in entry.allocation):
                self.add_history(
                    now, entry.job.id, 'claim dropped for a guarantee'
                )
                self.drop_claim(now, entry)

    def remove_job(self, entry: queues.JobEntry) -> None:
        """Delete a job in any state and release what it holds."""
        match entry.state:
            case queues.State.QUEUED:
                self.queue.remove(entry)
            case queues.State.CLAIMED:
                self._release_claim(entry)
                self._adjust_sum(self.used, entry, -1)
                self._release_shape_instance(entry)
            case _:
                self.release_placement(entry)
        # The queue removes jobs lazily: an entry that is not in the state
        # QUEUED is dropped when it reaches the front.
        entry.state = queues.State.STOPPING
        del self.entries[entry.job.id]

    def assign_shape_instance(
        self, entry: queues.JobEntry, instance: shapes.ShapeInstance
    ) -> None:
        """Assign a shape instance to a running job that was a borrower."""
        entry.shape_instance = instance
        self.borrowers.get(entry.job.account, {}).pop(entry.job.id, None)

    def drop_shape_instance(self, entry: queues.JobEntry) -> None:
        """Make a job whose guaranteed shape was removed a borrower."""
        entry.shape_instance = None
        if entry.state in (queues.State.PLACED, queues.State.RUNNING):
            self._record_borrower(entry)

    def add_history(self, now: float, job_id: str, text: str) -> None:
        """Add a line to the history of a job."""
        lines = self._history.get(job_id)
        if lines is None:
            lines = collections.deque(maxlen=HISTORY_LINES)
            self._history[job_id] = lines
            if len(self._history) > HISTORY_JOBS:
                self._history.popitem(last=False)
        else:
            self._history.move_to_end(job_id)
        lines.append(f'{now:.3f} {text}')

    def get_history(self, job_id: str) -> list[str]:
        """Return the history of a job, oldest line first."""
        return list(self._history.get(job_id, ()))

    def _record_borrower(self, entry: queues.JobEntry) -> None:
        if entry.shape_instance is None:
            account = entry.job.account
            self.borrowers.setdefault(account, {})[entry.job.id] = entry

    def _release_claim(self, entry: queues.JobEntry) -> None:
        del self.claims[entry.job.id]
        for node, count in entry.allocation.items():
            self.topology.hold(node, -count)

    def _release_shape_instance(self, entry: queues.JobEntry) -> None:
        if entry.shape_instance is not None:
            self.bindings.release(entry.shape_instance)
            entry.shape_instance = None

    def _adjust_sum(
        self, sums: dict[str, int], entry: queues.JobEntry, sign: int
    ) -> None:
        account = entry.job.account
        change = sign * entry.job.spec.accelerators
        sums[account] = sums.get(account, 0) + change
