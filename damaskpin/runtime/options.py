"""What a process of the fleet is told at its start."""

from __future__ import annotations

import msgspec


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, secrets and bounds of a process.

    :ivar instance: name that a restarted process keeps.
    :ivar listen: pynng URL to listen on.
    :ivar address: pynng URL at which peers reach this process.
    :ivar seeds: pynng URLs of entries to ask first.
    :ivar grant: seconds for which an agent keeps its worker's lease without
        hearing from the coordinator.
    :ivar lease: seconds for which one renewal keeps the worker's lease.
    :ivar stop_time: seconds that a worker takes to stop a run.
    :ivar cores: processor cores that the process may use.
    :ivar show_time: seconds for which a job's final state is shown at least.
    """

    instance: str
    listen: str
    address: str
    fleet_key: bytes
    seeds: tuple[str, ...]
    grant: float
    lease: float
    stop_time: float
    cores: float = 1.0
    show_time: float = 120.0
