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
    from damaskpin.scheduler import filling
    from damaskpin.scheduler import shapes

# Number of jobs with a history, and lines kept of each. The oldest are dropped
# first.
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
        self.entries: dict[str, queues.Entry] = {}
        self.claims: dict[str, queues.Entry] = {}
        self.accounts: dict[str, configs.Account] = {}
        self.used: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.borrowers: dict[str, dict[str, queues.Entry]] = {}
        self._history: collections.OrderedDict[str, collections.deque[str]] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def add(self, now: float, job: jobs.Job, age: float) -> queues.Entry:
        """Add a job to the ledger, but not yet to the queue.

        :param age: seconds since the submission of the job.
        """
        self._sequence += 1
        entry = queues.Entry(job, now - age, self._sequence)
        self.entries[job.id] = entry
        return entry

    def enqueue(self, now: float, entry: queues.Entry) -> None:
        """Add a job to the queue."""
        entry.state = queues.State.QUEUED
        self.queue.add(entry, now)

    def claim(
        self,
        entry: queues.Entry,
        parts: filling.Parts,
        waiting_for: tuple[str, ...],
    ) -> None:
        """Hold accelerators for a queued job until they are all free.

        :param waiting_for: ids of the jobs that must stop first.
        """
        self.queue.remove(entry)
        entry.state = queues.State.CLAIMED
        entry.parts = parts
        entry.waiting_for = waiting_for
        for node, count in parts.items():
            self.topology.hold(node, count)
        self._change(self.used, entry, 1)
        self.claims[entry.job.id] = entry

    def drop_claim(self, now: float, entry: queues.Entry) -> None:
        """Release the accelerators that a job claimed, and requeue the job."""
        self._end_claim(entry)
        self._change(self.used, entry, -1)
        self._release_instance(entry)
        entry.parts = {}
        entry.waiting_for = ()
        self.enqueue(now, entry)

    def is_ready(self, entry: queues.Entry) -> bool:
        """Return whether a claim's accelerators and quota are free."""
        account = entry.job.account
        size = entry.job.spec.accelerators
        known = self.accounts.get(account)
        running = self.running.get(account, 0)
        if known is not None and running + size > known.quota:
            return False
        return all(
            node.unused >= count and node.is_open()
            for node, count in entry.parts.items()
        )

    def place(self, now: float, entry: queues.Entry) -> decisions.Place:
        """Place a job on its claimed accelerators, which must be free."""
        self._end_claim(entry)
        members = []
        for node, count in entry.parts.items():
            indexes = tuple(
                index for index, user in enumerate(node.slots) if user is None
            )[:count]
            for index in indexes:
                self.topology.occupy(node, index, entry.job.id)
            members.append((node.name, indexes))
        entry.members = tuple(members)
        entry.state = queues.State.PLACED
        entry.started = now
        self._change(self.running, entry, 1)
        self._note_borrower(entry)
        guaranteed = entry.instance is not None
        waited_for = entry.waiting_for
        entry.waiting_for = ()
        return decisions.Place(
            entry.job.id, entry.members, guaranteed, waited_for
        )

    def stop(
        self, now: float, victim: queues.Entry, reason: str
    ) -> decisions.Reclaim:
        """Mark a borrowing job as stopping and return the decision."""
        victim.state = queues.State.STOPPING
        victim.reclaims += 1
        self.note(now, victim.job.id, f'reclaimed: {reason}')
        return decisions.Reclaim(victim.job.id, reclaim.GRACE_SECONDS, reason)

    def adopt(
        self, entry: queues.Entry, members: decisions.Members, started: float
    ) -> None:
        """Record the accelerators and start of a job that already runs."""
        parts: filling.Parts = {}
        for name, indexes in members:
            node = self.topology.nodes[name]
            parts[node] = parts.get(node, 0) + len(indexes)
            for index in indexes:
                self.topology.occupy(node, index, entry.job.id)
        entry.parts = parts
        entry.members = members
        entry.state = queues.State.RUNNING
        entry.broken = not all(node.alive for node in parts)
        entry.started = started
        self._change(self.used, entry, 1)
        self._change(self.running, entry, 1)
        self._note_borrower(entry)

    def unplace(self, entry: queues.Entry) -> None:
        """Release the accelerators, quota and shape of a placed job."""
        self.topology.release(entry.members, entry.job.id)
        self._change(self.used, entry, -1)
        self._change(self.running, entry, -1)
        borrowers = self.borrowers.get(entry.job.account)
        if borrowers is not None:
            borrowers.pop(entry.job.id, None)
        self._release_instance(entry)
        entry.parts = {}
        entry.members = ()
        entry.backfilled = False
        entry.broken = False

    def note_worker_change(self, node: topologies.Node) -> None:
        """Update jobs and bindings after a worker failed or returned."""
        for job_id in node.slots:
            if job_id is None:
                continue
            entry = self.entries[job_id]
            entry.broken = not all(part.alive for part in entry.parts)
        self.bindings.note_worker_change(node)

    def forget_workers(self, removed_before: float) -> None:
        """Delete unused workers that went out of service before a time."""
        for node in list(self.topology.get_failed()):
            if node.alive or node.removed > removed_before:
                continue
            if node.bound or node.held or node.unused < node.size:
                continue
            self.topology.forget_worker(node)
            self.bindings.note_worker_change(node)

    def drop_borrowed_claims(self, now: float, parts: filling.Parts) -> None:
        """Drop borrowing jobs' claims on workers that a guarantee needs."""
        for entry in list(self.claims.values()):
            if entry.instance is not None:
                continue
            if any(node in parts for node in entry.parts):
                self.note(now, entry.job.id, 'claim dropped for a guarantee')
                self.drop_claim(now, entry)

    def forget(self, entry: queues.Entry) -> None:
        """Delete a job in any state and release what it holds."""
        match entry.state:
            case queues.State.QUEUED:
                self.queue.remove(entry)
            case queues.State.CLAIMED:
                self._end_claim(entry)
                self._change(self.used, entry, -1)
                self._release_instance(entry)
            case _:
                self.unplace(entry)
        # The queue drops jobs lazily by their state.
        entry.state = queues.State.STOPPING
        del self.entries[entry.job.id]

    def use_instance(
        self, entry: queues.Entry, instance: shapes.Instance
    ) -> None:
        """Let a running borrower draw on an instance bound to its place."""
        entry.instance = instance
        self.borrowers.get(entry.job.account, {}).pop(entry.job.id, None)

    def lose_instance(self, entry: queues.Entry) -> None:
        """Let a job whose guaranteed shape is gone go on as a borrower."""
        entry.instance = None
        if entry.state in (queues.State.PLACED, queues.State.RUNNING):
            self._note_borrower(entry)

    def note(self, now: float, job_id: str, text: str) -> None:
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

    def _note_borrower(self, entry: queues.Entry) -> None:
        if entry.instance is None:
            account = entry.job.account
            self.borrowers.setdefault(account, {})[entry.job.id] = entry

    def _end_claim(self, entry: queues.Entry) -> None:
        del self.claims[entry.job.id]
        for node, count in entry.parts.items():
            self.topology.hold(node, -count)

    def _release_instance(self, entry: queues.Entry) -> None:
        if entry.instance is not None:
            self.bindings.release(entry.instance)
            entry.instance = None

    def _change(
        self, sums: dict[str, int], entry: queues.Entry, sign: int
    ) -> None:
        account = entry.job.account
        change = sign * entry.job.spec.accelerators
        sums[account] = sums.get(account, 0) + change
