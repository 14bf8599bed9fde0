"""Configuration document of accounts and racks, approved by headquarters."""

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
    """A rack of equal workers that the operators expect to exist.

    :ivar workers: number of workers in the rack.
    :ivar accelerators: number of accelerators of each worker.
    """

    name: job.Name
    data_centre: job.Name
    region: job.Name
    workers: PositiveCount
    accelerators: PositiveCount


class Guarantee(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A gang size and placement that a client account can always obtain.

    Other accounts may borrow the accelerators until they are reclaimed.

    :ivar accelerators: number of accelerators of one gang of this shape.
    :ivar adjacency: topology level that must contain the whole gang.
    :ivar count: number of gangs of this shape guaranteed at the same time.
    :ivar region: region in which the gangs are placed.
    :ivar data_centre: data centre in which the gangs are placed; ``None`` for
        any in the region.
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
    :ivar weight: relative share of the capacity beyond the guarantees.
    :ivar quota: maximum number of accelerators in use at the same time.
    :ivar max_queued: maximum number of jobs waiting at the same time.
    :ivar requests_per_second: maximum sustained rate of service requests.
    :ivar guarantees: gang shapes guaranteed to the account.
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
    """Accounts with their guarantees, and the hardware to check these against.

    :ivar failed_workers: number of workers of a data centre that may fail at
        the same time without breaking a guarantee.
    """

    accounts: list[Account] = []
    racks: list[Rack] = []
    failed_workers: Count = 1


def parse_config(text: bytes) -> Config:
    """Decode a configuration document.

    :param text: JSON document.
    :returns: the configuration; references between its parts are not
        checked.
    :raises damaskpin.errors.ConfigError: the text is not JSON, or a field is
        unknown, missing or out of range.
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
