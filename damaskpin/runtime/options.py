"""Options with which an entry or agent process is started."""

from __future__ import annotations

import msgspec


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, secrets and time limits of a process.

    :ivar instance: id of the instance; unchanged when the process restarts.
    :ivar listen: pynng URL to listen on.
    :ivar address: pynng URL at which peers reach this process.
    :ivar fleet_key: secret that authenticates messages between peers.
    :ivar seeds: pynng URLs of entries that are known at the start.
    :ivar grant_duration: seconds for which an agent keeps renewing its
        worker's lease without a message from the coordinator.
    :ivar lease_duration: seconds until a worker's lease expires after a
        renewal.
    :ivar longest_lease: longest lease in seconds that a worker allows.
    :ivar stop_time: maximum seconds that a worker takes to stop a run.
    :ivar cores: number of processor cores that the process may use.
    :ivar retention_time: minimum time in seconds for which a job's final state
        is shown.
    """

    instance: str
    listen: str
    address: str
    fleet_key: bytes
    seeds: tuple[str, ...]
    grant_duration: float
    lease_duration: float
    stop_time: float
    longest_lease: float = 0.0
    cores: float = 1.0
    retention_time: float = 120.0
