"""Jobs that callers submit."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from damaskpin.model import hardware

MAX_GANG_ACCELERATORS = 128
MAX_RUN_SECONDS = 30 * 24 * 3600.0

Name = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]


class Priority(enum.IntEnum):
    """Priority class of a job; a smaller number is scheduled first."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class JobSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Requirements of a job as specified by the caller.

    :ivar accelerators: number of accelerators of the gang; one task runs on
        each.
    :ivar adjacency: topology level that must contain the whole gang.
    :ivar run_seconds: run time in seconds as declared by the caller; often
        inaccurate.
    :ivar priority: priority class.
    :ivar deadline_seconds: maximum time in seconds that the job waits after
        its submission.
    :ivar idempotent: whether the job may be started again after a failure.
    :ivar shape: name of the guarantee to use; ``None`` for any that fits.
    :ivar command: command-line arguments of each task.
    """

    accelerators: Annotated[int, msgspec.Meta(ge=1, le=MAX_GANG_ACCELERATORS)]
    adjacency: hardware.Adjacency = hardware.Adjacency.WORKER
    run_seconds: Annotated[float, msgspec.Meta(gt=0, le=MAX_RUN_SECONDS)] = (
        3600.0
    )
    priority: Priority = Priority.NORMAL
    deadline_seconds: (
        Annotated[float, msgspec.Meta(gt=0, le=MAX_RUN_SECONDS)] | None
    ) = None
    idempotent: bool = True
    shape: Name | None = None
    command: Annotated[
        list[Annotated[str, msgspec.Meta(max_length=4096)]],
        msgspec.Meta(max_length=64),
    ] = []


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A job that an entry has accepted.

    :ivar id: globally unique identifier.
    :ivar account: client account that submitted the job.
    :ivar spec: requirements of the job.
    :ivar age_seconds: seconds between the acceptance of the job and the
        sending of this message.
    """

    id: str
    account: str
    spec: JobSpec
    age_seconds: float = 0.0
