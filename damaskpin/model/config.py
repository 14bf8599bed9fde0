"""Configuration document that headquarters approves."""

from __future__ import annotations

from typing import Annotated

import msgspec

from damaskpin import errors
from damaskpin.model import hardware
from damaskpin.model import job

Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class Rack(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A rack of equal workers, as the operators expect it.

    :ivar workers: number of workers.
    :ivar accelerators: accelerators of each worker.
    """

    name: job.Name
    data_centre: job.Name
    region: job.Name
    workers: PositiveCount
    accelerators: PositiveCount


class Guarantee(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A shape that a client account can always reclaim.

    :ivar accelerators: accelerators of one instance of the shape.
    :ivar adjacency: level that must hold all of them.
    :ivar count: instances of the shape that are held at the same time.
    :ivar region: region of the cells.
    :ivar data_centre: data centre of the cells; ``None`` for any.
    """

    name: job.Name
    accelerators: Annotated[
        int, msgspec.Meta(ge=1, le=job.MAX_GANG_ACCELERATORS)
    ]
    adjacency: hardware.Adjacency
    count: PositiveCount
    region: job.Name
    data_centre: job.Name | None = None


class Account(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A client account.

    :ivar token_sha256: SHA-256 of the account's token, 64 hex digits.
    :ivar weight: share relative to other accounts beyond the guarantees.
    :ivar quota: accelerators in use at the same time, at most.
    :ivar max_queued: jobs waiting at the same time, at most.
    :ivar requests_per_second: sustained rate of service requests.
    :ivar guarantees: guaranteed shapes.
    """

    name: job.Name
    token_sha256: Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    quota: Count
    max_queued: Count = 1000
    requests_per_second: Annotated[float, msgspec.Meta(gt=0, le=100_000)] = (
        100.0
    )
    guarantees: list[Guarantee] = []


class Config(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Accounts, guaranteed shapes and the hardware they are checked against.

    :ivar failed_workers: workers of a data centre that may fail at the same
        time while every guarantee still holds.
    """

    accounts: list[Account] = []
    racks: list[Rack] = []
    failed_workers: Count = 1


def parse_config(text: bytes) -> Config:
    """Decode a configuration document.

    :param text: JSON document.
    :returns: the configuration; references are not checked here.
    :raises damaskpin.errors.ConfigError: not JSON, or a field is unknown,
        missing or out of its range.
    """
    try:
        return msgspec.json.decode(text, type=Config)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.ConfigError([str(error)]) from error


def format_config(config: Config) -> bytes:
    """Encode a configuration in its canonical form.

    :param config: configuration to encode.
    :returns: JSON with sorted keys, two spaces of indent and a final newline;
        equal configurations give equal bytes.
    """
    text = msgspec.json.encode(config, order='sorted')
    return msgspec.json.format(text, indent=2) + b'\n'
