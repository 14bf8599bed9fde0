"""Workers and the topology levels that group their accelerators."""

from __future__ import annotations

import enum

import msgspec


class Adjacency(enum.StrEnum):
    """Topology level that must contain all accelerators of a gang."""

    WORKER = 'worker'
    RACK = 'rack'
    DATA_CENTRE = 'data_centre'
    REGION = 'region'


class Worker(msgspec.Struct, frozen=True, array_like=True):
    """A machine of the platform.

    :ivar name: name, unique among all workers.
    :ivar region: region of the data centre.
    :ivar data_centre: data centre of the rack.
    :ivar rack: rack of the worker; unique within its data centre.
    :ivar accelerators: number of accelerators.
    """

    name: str
    region: str
    data_centre: str
    rack: str
    accelerators: int


def get_cell(worker: Worker, adjacency: Adjacency) -> tuple[str, ...]:
    """Return the cell (group of workers at one level) that contains a worker.

    :param worker: worker to locate.
    :param adjacency: topology level of the cell.
    :returns: key of the cell: the names from the region down to the level.
    """
    match adjacency:
        case Adjacency.REGION:
            return (worker.region,)
        case Adjacency.DATA_CENTRE:
            return (worker.region, worker.data_centre)
        case Adjacency.RACK:
            return (worker.region, worker.data_centre, worker.rack)
        case Adjacency.WORKER:
            return (
                worker.region,
                worker.data_centre,
                worker.rack,
                worker.name,
            )
