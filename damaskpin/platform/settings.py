"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib

import msgspec

from damaskpin import errors
from damaskpin.platform import wire
from damaskpin.runtime import options

SETTINGS_VARIABLE = 'DAMASKPIN_BOOT'

# Seconds by which a worker's lease is shorter than the platform's maximum, so
# that it is renewed well before the maximum is reached.
LEASE_MARGIN_S = 0.5

# Maximum duration of a worker's lease in seconds. A longer lease delays the
# restart of a lost worker's runs on other workers. A shorter one would expire
# while the agent process, which renews it, is stalled for 5.5 s.
MAX_LEASE_S = 7.0

# Seconds for which an agent without contact to the coordinator keeps renewing
# its worker's lease. It outlasts an outage of all entries of 9.5 s with their
# restart. The work of a lost instance waits for it and for a suspension, and
# must start again within 17 s.
GRANT_DURATION_S = 10.7

# Names of the fields of ``Bounds`` in the settings file.
BOUND_NAMES = {
    'hold_max_ms': 'holdMaxMs',
    'stop_ms': 'stopMs',
    'grace_s': 'graceS',
    'status_s': 'status_s',
}

# Environment variable with the pynng URL at which peers reach this process. It
# is only set if that differs from the URL on which the process listens, as
# behind a forwarder.
ADDRESS_VARIABLE = 'DAMASKPIN_PEER_ADDRESS'

# Environment variable with the secret that authenticates messages of peers.
KEY_VARIABLE = 'DAMASKPIN_FLEET_KEY'


class ListenAddresses(msgspec.Struct):
    """Addresses on which the HTTP interfaces listen.

    :ivar front: address of an entry's interface for clients.
    :ivar ready: address of an entry's interface for readiness checks.
    :ivar control: address of an agent's interface for its worker.
    """

    front: str = ''
    ready: str = ''
    control: str = ''


class Bounds(msgspec.Struct, rename=BOUND_NAMES):
    """Time limits of the installation; the names state the unit.

    :ivar hold_max_ms: maximum duration of a worker's lease, for which the
        worker keeps its runs without a renewal.
    :ivar stop_ms: maximum time that a worker takes to stop a run.
    :ivar grace_s: time from SIGTERM until the platform kills a process.
    :ivar status_s: minimum time for which a job's final state is shown.
    """

    hold_max_ms: float = 10000.0
    stop_ms: float = 1000.0
    grace_s: float = 6.0
    status_s: float = 120.0


class Limits(msgspec.Struct, rename='camel'):
    """Processor limits of the process.

    The product of both fields is the processor time that the process may use,
    in cores of speed 1.

    :ivar cpu_share: share of one processor core that the process may use.
    :ivar cores: relative speed of that core, not a number of cores.
    """

    cpu_share: float = 1.0
    cores: float = 1.0


class StoreAddress(msgspec.Struct):
    """Address of the store."""

    addr: str


class Settings(msgspec.Struct, rename='camel'):
    """Fields of the settings file that are used; others are ignored.

    :ivar node: id of the instance.
    :ivar port_range: ports for calls between peers; the first one is used.
    :ivar platform: address of the store.
    :ivar seeds: addresses of entries that are known at the start.
    :ivar app: address of the worker beside an agent; empty for an entry.
    :ivar advice: address of the advisor; empty if there is none.
    """

    node: str
    role: str
    ip: str
    zone: str
    region: str
    listen: ListenAddresses
    port_range: list[int]
    platform: StoreAddress
    seeds: list[str] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)
    app: str = ''
    advice: str = ''
    service: str = ''

    def make_options(self) -> options.Options:
        """Convert the settings to the options of the process."""
        port = self.port_range[0]
        seeds = []
        for seed in self.seeds:
            seeds.append(f'tcp://{seed.rpartition(":")[0]}:{port}')
        listen = f'tcp://{self.ip}:{port}'
        return options.Options(
            instance=self.node,
            listen=listen,
            address=os.environ.get(ADDRESS_VARIABLE) or listen,
            fleet_key=os.environ.get(KEY_VARIABLE, '').encode(),
            seeds=tuple(seeds),
            grant_duration=GRANT_DURATION_S,
            lease_duration=min(
                self.bounds.hold_max_ms / 1000 - LEASE_MARGIN_S, MAX_LEASE_S
            ),
            longest_lease=self.bounds.hold_max_ms / 1000,
            stop_time=self.bounds.stop_ms / 1000,
            retention_time=self.bounds.status_s,
            cores=self.limits.cpu_share * self.limits.cores,
        )


def load_settings() -> Settings:
    """Read the settings file named by the environment.

    :raises damaskpin.errors.SettingsError: the file is missing or
        malformed; the message names the field.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise errors.SettingsError(f'{SETTINGS_VARIABLE} is not set')
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(f'{path}: {error.strerror}') from error
    try:
        return wire.decode(data, Settings)
    except errors.MalformedError as error:
        raise errors.SettingsError(f'{path}: {error}') from error
