"""Names of the keys that damaskpin keeps in the store."""

from __future__ import annotations

ROOT = 'damaskpin/'
JOBS = ROOT + 'jobs/'
PROGRESS = ROOT + 'progress/'
CANCELS = ROOT + 'cancels/'
ENTRIES = ROOT + 'entries/'
LEADER = ROOT + 'leader'


def make_job_key(job_id: str) -> str:
    """Return the key that holds the specification of an accepted job."""
    return JOBS + job_id


def make_progress_key(job_id: str) -> str:
    """Return the key that holds the progress of a job."""
    return PROGRESS + job_id


def make_cancel_key(job_id: str) -> str:
    """Return the key whose existence requests that a job be cancelled."""
    return CANCELS + job_id
