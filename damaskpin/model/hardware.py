"""Workers and the hierarchy in which their accelerators lie."""

from __future__ import annotations

import enum

import msgspec


class Adjacency(enum.StrEnum):
    """Level of the hierarchy that holds all accelerators of a gang."""

    WORKER = 'worker'
    RACK = 'rack'
    DATA_CENTRE = 'data_centre'
    REGION = 'region'


class Worker(msgspec.Struct, frozen=True, array_like=True):
    """A machine of the platform.

    :ivar name: name that is unique in the fleet.
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
    """Return the key of the cell of one level that holds a worker.

    :param worker: worker to locate.
    :param adjacency: level of the cell.
    :returns: path of names from the region down to the cell.
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
