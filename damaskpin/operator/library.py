"""Classes with which an operator's program defines a configuration."""

from __future__ import annotations

import dataclasses
import sys

from damaskpin.model import config as configs
from damaskpin.operator import render


@dataclasses.dataclass(frozen=True, slots=True)
class SourceLocation:
    """Line of the operator's program that defines an object."""

    file: str
    line: int

    def __str__(self) -> str:
        return f'{self.file}:{self.line}'


class Rack:
    """Rack of workers with equally many accelerators in a data centre.

    :ivar location: line of the operator's program that defines the rack.
    """

    __slots__ = ('fields', 'location')

    def __init__(
        self, location: SourceLocation, fields: dict[str, object]
    ) -> None:
        self.location = location
        self.fields = fields


class DataCentre:
    """Data centre of a region.

    :ivar location: line of the operator's program that defines the data
        centre.
    """

    __slots__ = ('location', 'name', 'racks', 'region')

    def __init__(
        self, location: SourceLocation, region: Region, name: str
    ) -> None:
        self.location = location
        self.region = region
        self.name = name
        self.racks: list[Rack] = []

    def add_rack(self, name: str, workers: int, accelerators: int) -> Rack:
        """Add a rack to the data centre.

        :param name: name of the rack, unique in the data centre.
        :param workers: number of workers.
        :param accelerators: number of accelerators of each worker.
        """
        rack = Rack(
            find_program_line(),
            {
                'name': name,
                'data_centre': self.name,
                'region': self.region.name,
                'workers': workers,
                'accelerators': accelerators,
            },
        )
        self.racks.append(rack)
        return rack


class Region:
    """Region of the fleet.

    :ivar location: line of the operator's program that defines the region.
    """

    __slots__ = ('data_centres', 'location', 'name')

    def __init__(self, location: SourceLocation, name: str) -> None:
        self.location = location
        self.name = name
        self.data_centres: list[DataCentre] = []

    def add_data_centre(self, name: str) -> DataCentre:
        """Add a data centre, whose name must be unique in the fleet."""
        data_centre = DataCentre(find_program_line(), self, name)
        self.data_centres.append(data_centre)
        return data_centre


class Shape:
    """Guaranteed shape of a client account.

    :ivar location: line of the operator's program that defines the shape.
    """

    __slots__ = ('fields', 'location', 'name')

    def __init__(
        self, location: SourceLocation, fields: dict[str, object]
    ) -> None:
        self.location = location
        self.name = str(fields['name'])
        self.fields = fields


class Job:
    """Job of a client account, with the fields of its specification.

    :ivar location: line of the operator's program that defines the job.
    """

    __slots__ = ('fields', 'location', 'name')

    def __init__(
        self, location: SourceLocation, name: str, fields: dict[str, object]
    ) -> None:
        self.location = location
        self.name = name
        self.fields = fields


class Account:
    """Client account with its guaranteed shapes and its jobs.

    :ivar location: line of the operator's program that defines the account.
    """

    __slots__ = ('fields', 'jobs', 'location', 'name', 'shapes')

    def __init__(
        self, location: SourceLocation, fields: dict[str, object]
    ) -> None:
        self.location = location
        self.name = str(fields['name'])
        self.fields = fields
        self.shapes: list[Shape] = []
        self.jobs: list[Job] = []

    def add_shape(
        self,
        name: str,
        accelerators: int,
        adjacency: str,
        region: Region | str,
        count: int = 1,
        data_centre: DataCentre | str | None = None,
    ) -> Shape:
        """Guarantee accelerators in a given shape to the account.

        :param accelerators: number of accelerators of one copy of the shape.
        :param adjacency: topology level that must contain all accelerators of
            one copy, such as ``worker`` or ``rack``.
        :param region: region in which the shape is guaranteed.
        :param count: number of copies that are guaranteed at the same time.
        :param data_centre: data centre in which the shape is guaranteed;
            ``None`` for any of the region.
        """
        shape = Shape(
            find_program_line(),
            {
                'name': name,
                'accelerators': accelerators,
                'adjacency': adjacency,
                'count': count,
                'region': _get_name(region),
                'data_centre': _get_name(data_centre),
            },
        )
        self.shapes.append(shape)
        return shape

    def add_job(
        self,
        name: str,
        accelerators: int,
        shape: Shape | str | None = None,
        **fields: object,
    ) -> Job:
        """Add a job to the account.

        :param accelerators: number of accelerators of the gang.
        :param shape: guaranteed shape that the job uses; ``None`` for none.
        :param fields: other fields of ``damaskpin.model.job.JobSpec``.
        """
        specification = dict(fields, accelerators=accelerators)
        specification['shape'] = _get_name(shape)
        job = Job(find_program_line(), name, specification)
        self.jobs.append(job)
        return job


class Fleet:
    """Regions and client accounts that make up a configuration.

    :param failed_workers: number (not a list) of workers of each data centre
        that may fail at the same time without breaking a guarantee.
    """

    __slots__ = ('accounts', 'failed_workers', 'regions')

    def __init__(self, failed_workers: int = 1) -> None:
        self.failed_workers = failed_workers
        self.regions: list[Region] = []
        self.accounts: list[Account] = []

    def add_region(self, name: str) -> Region:
        """Add a region to the fleet."""
        region = Region(find_program_line(), name)
        self.regions.append(region)
        return region

    def add_account(
        self, name: str, token_sha256: str, quota: int, **fields: object
    ) -> Account:
        """Add a client account to the fleet.

        :param token_sha256: SHA-256 of the account's token, in hex.
        :param quota: maximum number of accelerators in use at the same time.
        :param fields: other fields of ``damaskpin.model.config.Account``.
        """
        account = Account(
            find_program_line(),
            dict(fields, name=name, token_sha256=token_sha256, quota=quota),
        )
        self.accounts.append(account)
        return account

    def render(self) -> str:
        """Return the canonical JSON document of the configuration.

        The order of the definitions does not change the document.

        :raises damaskpin.errors.ConfigError: with the file and line of each
            definition that is duplicate, invalid or has an unknown reference.
        """
        config = render.build_config(self)
        return configs.format_config(config).decode()

    def render_jobs(self) -> str:
        """Return the jobs as JSON, sorted by account and name.

        :raises damaskpin.errors.ConfigError: with the file and line of each
            invalid definition.
        """
        return render.format_jobs(self)


def find_program_line() -> SourceLocation:
    """Return the line of the operator's program that calls this module."""
    frame = sys._getframe(1)
    while frame.f_back is not None and frame.f_code.co_filename == __file__:
        frame = frame.f_back
    return SourceLocation(frame.f_code.co_filename, frame.f_lineno)


def _get_name(item: object) -> object:
    if isinstance(item, (Region, DataCentre, Shape)):
        return item.name
    return item
