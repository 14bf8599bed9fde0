"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib

import msgspec

from damaskpin import errors
from damaskpin.platform import wire
from damaskpin.runtime import options

SETTINGS_VARIABLE = 'DAMASKPIN_BOOT'

# A worker's lease is renewed well before the longest time that it may have,
# in seconds.
LEASE_MARGIN_S = 0.5

# A longer lease keeps lost workers' runs from starting elsewhere, and one that
# is shorter does not outlast an agent that stands still for 5.5 s, in seconds.
MAX_LEASE_S = 7.0

# An agent that loses the coordinator keeps its worker's lease for this time,
# in seconds: partitions of machines last up to 12 s and must not end work.
GRANT_DURATION_S = 13.5

BOUND_NAMES = {
    'hold_max_ms': 'holdMaxMs',
    'stop_ms': 'stopMs',
    'grace_s': 'graceS',
    'status_s': 'status_s',
}

# pynng URL at which peers reach this process, where it is not the one that it
# listens on, as behind a forwarder; empty for none.
ADDRESS_VARIABLE = 'DAMASKPIN_PEER_ADDRESS'

KEY_VARIABLE = 'DAMASKPIN_FLEET_KEY'


class Listen(msgspec.Struct):
    """Addresses to listen on."""

    front: str = ''
    ready: str = ''
    control: str = ''


class Bounds(msgspec.Struct, rename=BOUND_NAMES):
    """Bounds of the installation, in the units that their names state."""

    hold_max_ms: float = 10000.0
    stop_ms: float = 1000.0
    grace_s: float = 6.0
    status_s: float = 120.0


class Limits(msgspec.Struct, rename='camel'):
    """Limits of the process: a share of a core that is ``cores`` as fast."""

    cpu_share: float = 1.0
    cores: float = 1.0


class StoreAddress(msgspec.Struct):
    """Where the store is."""

    addr: str


class Settings(msgspec.Struct, rename='camel'):
    """Fields of the settings file that the product uses."""

    node: str
    role: str
    ip: str
    zone: str
    region: str
    listen: Listen
    port_range: list[int]
    platform: StoreAddress
    seeds: list[str] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)
    app: str = ''
    advice: str = ''
    service: str = ''

    def make_options(self) -> options.Options:
        """Return the settings in the product's terms."""
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
            grant=GRANT_DURATION_S,
            lease=min(
                self.bounds.hold_max_ms / 1000 - LEASE_MARGIN_S, MAX_LEASE_S
            ),
            stop_time=self.bounds.stop_ms / 1000,
            retention_time=self.bounds.status_s,
            cores=self.limits.cpu_share * self.limits.cores,
        )


def load_settings() -> Settings:
    """Read the settings file.

    :raises damaskpin.errors.SettingsError: missing or malformed; the text
        names the field.
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
