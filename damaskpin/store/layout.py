"""Keys that the product keeps in the store."""

from __future__ import annotations

ROOT = 'damaskpin/'
JOBS = ROOT + 'jobs/'
PROGRESS = ROOT + 'progress/'
CANCELS = ROOT + 'cancels/'
ENTRIES = ROOT + 'entries/'
LEADER = ROOT + 'leader'


def make_job_key(job_id: str) -> str:
    """Return the key of a job as it was accepted."""
    return JOBS + job_id


def make_progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + job_id


def make_cancel_key(job_id: str) -> str:
    """Return the key whose presence cancels a job."""
    return CANCELS + job_id
