"""Names of the keys that damaskpin keeps in the store."""

from __future__ import annotations

ROOT_PREFIX = 'damaskpin/'
JOBS_PREFIX = ROOT_PREFIX + 'jobs/'
PROGRESS_PREFIX = ROOT_PREFIX + 'progress/'
CANCELS_PREFIX = ROOT_PREFIX + 'cancels/'
ENTRIES_PREFIX = ROOT_PREFIX + 'entries/'
LEADER_KEY = ROOT_PREFIX + 'leader'
TERM_KEY = ROOT_PREFIX + 'term'
SILENCES_KEY = ROOT_PREFIX + 'silences'


def make_job_key(job_id: str) -> str:
    """Return the key that holds the specification of an accepted job."""
    return JOBS_PREFIX + job_id


def make_progress_key(job_id: str) -> str:
    """Return the key that holds the progress of a job."""
    return PROGRESS_PREFIX + job_id


def make_cancel_key(job_id: str) -> str:
    """Return the key that exists if the cancellation of a job is requested."""
    return CANCELS_PREFIX + job_id
