"""What became of a caller's request about a job."""

from __future__ import annotations

import msgspec

from damaskpin.model import work


class Accepted(msgspec.Struct, frozen=True):
    """The job is stored, or its cancellation is."""


class Unavailable(msgspec.Struct, frozen=True):
    """Nothing was done, and nothing of this request will be.

    :ivar retry_after: seconds after which a repeat may succeed.
    """

    reason: str
    retry_after: int


class Undecided(msgspec.Struct, frozen=True):
    """The store did not answer; a repeat of the request settles it."""

    reason: str


class Unknown(msgspec.Struct, frozen=True):
    """No such job exists."""


class Shown(msgspec.Struct, frozen=True):
    """The job's state."""

    state: work.JobState


Outcome = Accepted | Unavailable | Undecided | Unknown | Shown
