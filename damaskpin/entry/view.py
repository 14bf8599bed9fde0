"""In-memory copy of the stored jobs, used to answer callers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin.coordinator import records
from damaskpin.peer import addresses
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.model import work

LOG = logging.getLogger(__name__)


class CachedJob:
    """A stored job with its progress.

    :param now: steady time in seconds at which this entry first saw the job.
    :ivar submission: description of the job as accepted; ``None`` until it has
        been read from the store.
    :ivar progress: progress of the job's work items.
    :ivar revision: store revision of the progress record; 0 if the store has
        none.
    :ivar cancelled: whether the job has a cancellation record.
    """

    __slots__ = (
        '_first_seen',
        'cancelled',
        'progress',
        'revision',
        'submission',
    )

    def __init__(self, now: float) -> None:
        self._first_seen = now
        self.submission: work.Submission | None = None
        self.progress = records.Progress()
        self.revision = 0
        self.cancelled = False

    def estimate_arrival(self, now: float, wall: float) -> float:
        """Return the steady time in seconds by which the job was accepted.

        The Unix time tells more than the time at which this entry saw the job
        if the entry has started since.

        :param now: steady time in seconds.
        :param wall: Unix time in seconds.
        """
        if self.submission is None:
            return self._first_seen
        return min(self._first_seen, now - (wall - self.submission.accepted))


class CachedTombstone(msgspec.Struct, frozen=True):
    """A stored tombstone.

    :ivar revision: store revision of the record.
    """

    job: str
    record: records.Tombstone
    revision: int


class JobView:
    """In-memory copy of all stored jobs, updated from store changes.

    :ivar entries: addresses of all entries by name.
    :ivar leader: stored record of the leader, which is the entry that runs the
        coordinator; ``None`` without a leader.
    """

    __slots__ = ('_jobs', '_tombstones', 'entries', 'leader')

    def __init__(self) -> None:
        self._jobs: dict[str, CachedJob] = {}
        self._tombstones: dict[str, CachedTombstone] = {}
        self.entries: dict[str, str] = {}
        self.leader: transactions.StoredItem | None = None

    def get(self, job_id: str) -> CachedJob | None:
        """Return an accepted job by its id, or ``None`` if it is not known."""
        job = self._jobs.get(job_id)
        if job is None or job.submission is None:
            return None
        return job

    def list_jobs(self) -> list[CachedJob]:
        """Return all jobs whose submission has been read."""
        return [
            job for job in self._jobs.values() if job.submission is not None
        ]

    def list_tombstones(self) -> list[CachedTombstone]:
        """Return the tombstones of jobs that were never stored."""
        return list(self._tombstones.values())

    def count_pending(self, queue: str) -> int:
        """Return the number of jobs in a queue that have not yet begun."""
        count = 0
        for job in self._jobs.values():
            if job.submission is None or job.submission.terms.queue != queue:
                continue
            if job.cancelled or job.progress.begun:
                continue
            if not job.progress.state.is_final():
                count += 1
        return count

    def apply(self, change: transactions.Change, now: float) -> str:
        """Apply a change of the store to this copy.

        :param now: steady time in seconds.
        :returns: id of the changed job; empty if the key belongs to no job.
        """
        key = change.key
        if key == layout.LEADER_KEY:
            self._update_current_leader(change)
            return ''
        if key.startswith(layout.ENTRIES_PREFIX):
            self._apply_entry(change)
            return ''
        for prefix in (
            layout.JOBS_PREFIX,
            layout.PROGRESS_PREFIX,
            layout.CANCELS_PREFIX,
        ):
            if key.startswith(prefix):
                job_id = key[len(prefix) :]
                self._apply_job(prefix, job_id, change, now)
                return job_id
        return ''

    def _update_current_leader(self, change: transactions.Change) -> None:
        """Record which entry is the leader, or that there is none."""
        match change:
            case transactions.StoredItem():
                self.leader = change
            case transactions.Removal():
                self.leader = None

    def _apply_entry(self, change: transactions.Change) -> None:
        name = change.key[len(layout.ENTRIES_PREFIX) :]
        match change:
            case transactions.StoredItem():
                address = addresses.decode_address(change.key, change.value)
                self._set_entry(name, address)
            case transactions.Removal():
                self._set_entry(name, '')

    def _set_entry(self, name: str, address: str) -> None:
        """Set the address of an entry; an empty one removes the entry."""
        if address:
            self.entries[name] = address
        else:
            self.entries.pop(name, None)

    def _apply_job(
        self, prefix: str, job_id: str, change: transactions.Change, now: float
    ) -> None:
        match change:
            case transactions.Removal():
                if prefix == layout.JOBS_PREFIX:
                    self._jobs.pop(job_id, None)
                    self._tombstones.pop(job_id, None)
                return
        try:
            if prefix == layout.JOBS_PREFIX:
                self._apply_job_record(job_id, change, now)
                return
            job = self._jobs.setdefault(job_id, CachedJob(now))
            match prefix:
                case layout.PROGRESS_PREFIX:
                    job.progress = records.decode_progress(change.value)
                    job.revision = change.revision
                case _:
                    job.cancelled = True
        except errors.MalformedError as error:
            LOG.error(
                'stored record could not be decoded',
                extra={'key': change.key, 'error': str(error)},
            )

    def _apply_job_record(
        self, job_id: str, item: transactions.StoredItem, now: float
    ) -> None:
        match records.decode_job_record(item.value):
            case records.Tombstone() as tombstone:
                self._tombstones[job_id] = CachedTombstone(
                    job_id, tombstone, item.revision
                )
            case submission:
                self._tombstones.pop(job_id, None)
                job = self._jobs.setdefault(job_id, CachedJob(now))
                job.submission = submission


def copy_progress(progress: records.Progress) -> records.Progress:
    """Return a deep copy of a job's progress."""
    return records.decode_progress(records.encode_progress(progress))
