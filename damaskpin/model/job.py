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
    """Priority classes; a smaller number goes first."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class JobSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """What a caller asks for.

    :ivar accelerators: accelerators of the gang, one task on each.
    :ivar adjacency: level that must hold all of them.
    :ivar run_seconds: declared run time in seconds; often far off.
    :ivar priority: priority class.
    :ivar deadline_seconds: seconds after submission at which waiting ends.
    :ivar idempotent: whether the job may be started again after a failure.
    :ivar shape: guaranteed shape to draw on; ``None`` takes any that fits.
    :ivar command: arguments handed to each task.
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
    """A job that an entry accepted.

    :ivar id: identifier, unique in the fleet.
    :ivar account: client account that submitted it.
    :ivar spec: what was asked for.
    :ivar age_seconds: seconds since it was accepted, when this was sent.
    """

    id: str
    account: str
    spec: JobSpec
    age_seconds: float = 0.0
