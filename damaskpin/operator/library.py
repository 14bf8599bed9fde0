"""Typed objects in which operators write a configuration as a program."""

from __future__ import annotations

import dataclasses
import sys

from damaskpin.model import config as configs
from damaskpin.operator import render


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where the operator's program defines an object."""

    file: str
    line: int

    def __str__(self) -> str:
        return f'{self.file}:{self.line}'


class Rack:
    """A rack of equal workers in a data centre."""

    __slots__ = ('fields', 'place')

    def __init__(self, place: Place, fields: dict[str, object]) -> None:
        self.place = place
        self.fields = fields


class DataCentre:
    """A data centre of a region."""

    __slots__ = ('name', 'place', 'racks', 'region')

    def __init__(self, place: Place, region: Region, name: str) -> None:
        self.place = place
        self.region = region
        self.name = name
        self.racks: list[Rack] = []

    def add_rack(self, name: str, workers: int, accelerators: int) -> Rack:
        """Add a rack.

        :param name: name that is unique in the data centre.
        :param workers: number of workers.
        :param accelerators: accelerators of each worker.
        """
        rack = Rack(
            find_place(),
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
    """A region of the fleet."""

    __slots__ = ('data_centres', 'name', 'place')

    def __init__(self, place: Place, name: str) -> None:
        self.place = place
        self.name = name
        self.data_centres: list[DataCentre] = []

    def add_data_centre(self, name: str) -> DataCentre:
        """Add a data centre; its name is unique in the fleet."""
        data_centre = DataCentre(find_place(), self, name)
        self.data_centres.append(data_centre)
        return data_centre


class Shape:
    """A guaranteed shape of an account."""

    __slots__ = ('fields', 'name', 'place')

    def __init__(self, place: Place, fields: dict[str, object]) -> None:
        self.place = place
        self.name = str(fields['name'])
        self.fields = fields


class Job:
    """A job of an account, as it is submitted."""

    __slots__ = ('fields', 'name', 'place')

    def __init__(
        self, place: Place, name: str, fields: dict[str, object]
    ) -> None:
        self.place = place
        self.name = name
        self.fields = fields


class Account:
    """A client account."""

    __slots__ = ('fields', 'jobs', 'name', 'place', 'shapes')

    def __init__(self, place: Place, fields: dict[str, object]) -> None:
        self.place = place
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
        """Guarantee a shape to the account.

        :param accelerators: accelerators of one instance of the shape.
        :param adjacency: level that must hold all of them.
        :param region: region of the cells.
        :param count: instances that are held at the same time.
        :param data_centre: data centre of the cells; ``None`` for any.
        """
        shape = Shape(
            find_place(),
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
        """Describe a job of the account.

        :param accelerators: accelerators of the gang.
        :param shape: guaranteed shape that it draws on.
        :param fields: other fields of ``damaskpin.model.job.JobSpec``.
        """
        specification = dict(fields, accelerators=accelerators)
        specification['shape'] = _get_name(shape)
        job = Job(find_place(), name, specification)
        self.jobs.append(job)
        return job


class Fleet:
    """Everything that a configuration holds.

    :param failed_workers: workers of a data centre that may fail at the same
        time while every guarantee still holds.
    """

    __slots__ = ('accounts', 'failed_workers', 'regions')

    def __init__(self, failed_workers: int = 1) -> None:
        self.failed_workers = failed_workers
        self.regions: list[Region] = []
        self.accounts: list[Account] = []

    def add_region(self, name: str) -> Region:
        """Add a region."""
        region = Region(find_place(), name)
        self.regions.append(region)
        return region

    def add_account(
        self, name: str, token_sha256: str, quota: int, **fields: object
    ) -> Account:
        """Add a client account.

        :param token_sha256: SHA-256 of the account's token, in hex.
        :param quota: accelerators in use at the same time, at most.
        :param fields: other fields of ``damaskpin.model.config.Account``.
        """
        account = Account(
            find_place(),
            dict(fields, name=name, token_sha256=token_sha256, quota=quota),
        )
        self.accounts.append(account)
        return account

    def render(self) -> str:
        """Return the canonical document; equal fleets give equal texts.

        :raises damaskpin.errors.ConfigError: with the file and line of each
            definition that is duplicate, invalid or refers to nothing.
        """
        config = render.build_config(self)
        return configs.format_config(config).decode()

    def render_jobs(self) -> str:
        """Return the jobs as JSON, sorted by account and name.

        :raises damaskpin.errors.ConfigError: see ``render``.
        """
        return render.format_jobs(self)


def find_place() -> Place:
    """Return the line of the operator's program that is being run."""
    frame = sys._getframe(1)
    while frame.f_back is not None and frame.f_code.co_filename == __file__:
        frame = frame.f_back
    return Place(frame.f_code.co_filename, frame.f_lineno)


def _get_name(item: object) -> object:
    if isinstance(item, (Region, DataCentre, Shape)):
        return item.name
    return item
