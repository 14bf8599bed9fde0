"""In-memory copy of the stored jobs, used to answer callers."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import job_times
from damaskpin.coordinator import records
from damaskpin.entry import leader_term
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
        '_without_runs_since',
        'cancelled',
        'progress',
        'revision',
        'submission',
    )

    def __init__(self, now: float) -> None:
        self._first_seen = now
        self._without_runs_since = math.inf
        self.submission: work.Submission | None = None
        self.progress = records.Progress()
        self.revision = 0
        self.cancelled = False

    def set_progress(
        self, progress: records.Progress, revision: int, now: float
    ) -> None:
        """Replace the progress by a newer one from the store.

        :param now: steady time in seconds.
        """
        self.progress = progress
        self.revision = revision
        if records.has_active_run(progress):
            self._without_runs_since = math.inf
        else:
            self._without_runs_since = min(self._without_runs_since, now)

    def estimate_times(self, now: float, wall: float) -> job_times.JobTimes:
        """Return what this entry knows of the times of the job.

        The Unix time tells more than the time at which this entry saw the job
        if the entry has started since. Starts are ordered once they are
        stored, so that no worker runs a job whose progress has no active run.

        :param now: steady time in seconds.
        :param wall: Unix time in seconds.
        """
        arrived = self._first_seen
        if self.submission is not None:
            arrived = min(arrived, now - (wall - self.submission.accepted))
        if not self.progress.begun:
            return job_times.JobTimes(arrived)
        return job_times.JobTimes(arrived, min(self._without_runs_since, now))


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
    :ivar leader_term: latest term of a leader.
    """

    __slots__ = ('_jobs', '_tombstones', 'entries', 'leader', 'leader_term')

    def __init__(self) -> None:
        self._jobs: dict[str, CachedJob] = {}
        self._tombstones: dict[str, CachedTombstone] = {}
        self.entries: dict[str, str] = {}
        self.leader: transactions.StoredItem | None = None
        self.leader_term = leader_term.LeaderTerm()

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
        if key in (layout.LEADER_KEY, layout.TERM_KEY):
            self.leader_term.apply(now, change)
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
                    progress = records.decode_progress(change.value)
                    job.set_progress(progress, change.revision, now)
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


def make_job(
    now: float, wall: float, known_job: CachedJob, is_loaded: bool
) -> jobs.Job | None:
    """Return a stored job for a coordinator, which may change its progress.

    The job has a copy of the progress, so that the view still shows what is
    stored.

    :param now: steady time in seconds.
    :param wall: Unix time in seconds.
    :param is_loaded: whether the coordinator begins with the job, which has
        not arrived just now then.
    :returns: ``None`` if its submission is not known yet, or if it has ended
        and never had a run.
    """
    progress = known_job.progress
    if known_job.submission is None:
        return None
    if progress.state.is_final() and not progress.occurrences:
        return None
    times = known_job.estimate_times(now, wall) if is_loaded else None
    job = jobs.Job(known_job.submission, copy_progress(progress), times)
    job.revision = known_job.revision
    return job
