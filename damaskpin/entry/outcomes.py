"""Outcomes of a caller's request to submit, cancel or show a job."""

from __future__ import annotations

import msgspec

from damaskpin.model import work


class Accepted(msgspec.Struct, frozen=True):
    """The job or its cancellation has been stored."""


class Unavailable(msgspec.Struct, frozen=True):
    """The request had no effect and will have none later.

    :ivar reason: reason to return to the caller.
    :ivar retry_after: seconds after which the caller may try again.
    """

    reason: str
    retry_after: int


class Undecided(msgspec.Struct, frozen=True):
    """The store did not answer, so the request may have taken effect.

    The caller learns the result by repeating the request.

    :ivar reason: reason to return to the caller.
    """

    reason: str


class Withdrawn(msgspec.Struct, frozen=True):
    """The caller has cancelled the job before it was stored; it never runs."""


class JobNotFound(msgspec.Struct, frozen=True):
    """No job with the requested id exists for the caller."""


class JobFound(msgspec.Struct, frozen=True):
    """The job exists.

    :ivar state: state of the job.
    :ivar reason: why the job failed; empty otherwise.
    """

    state: work.JobState
    reason: str = ''


Outcome = (
    Accepted | Unavailable | Undecided | Withdrawn | JobNotFound | JobFound
)
