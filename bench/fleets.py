"""Workers and client accounts of the simulated deployments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import config as configs
from damaskpin.model import hardware

if TYPE_CHECKING:
    from collections.abc import Iterator

SMALL_FLEET = 'small'
LARGE_FLEET = 'large'
FLEETS = (SMALL_FLEET, LARGE_FLEET)
# The design size has 37 client accounts: 9 copies of each of the 4 kinds of
# account, and one more of the first kind.
LARGE_COPIES = 9
LARGE_ACCOUNTS = 37

_SMALL_WORKER_ACCELERATORS = 8
_LARGE_REGIONS = 3
_LARGE_DATA_CENTRES_PER_REGION = 4
# Pairs of a number of racks and the accelerators of each worker in them. A
# data centre has 125 workers with 300 accelerators, so that 12 data centres
# have the 1,500 workers and 3,600 accelerators of the design size.
_LARGE_RACKS = ((20, 2), (5, 4))
_LARGE_WORKERS_PER_RACK = 5

# For each data centre: region, name, and number of workers of each rack.
_SMALL_DATA_CENTRES = {
    'shortlist': (
        ('gauteng', 'sandton', (3, 1)),
        ('gauteng', 'midrand', (3,)),
        ('western-cape', 'observatory', (3,)),
    ),
    'repair': (
        ('almaty', 'medeu', (3, 1)),
        ('almaty', 'bostandyk', (3,)),
        ('astana', 'yesil', (3,)),
    ),
}
# For each client account: weight, and the name, accelerators, adjacency, count
# and region index of its guaranteed shape.
_SMALL_ACCOUNTS = {
    'shortlist': {
        'screening': (2.0, 'screen', 4, hardware.Adjacency.WORKER, 4, 0),
        'scoring': (2.0, None, 0, hardware.Adjacency.WORKER, 0, 0),
        'agency': (1.0, 'pitch', 16, hardware.Adjacency.RACK, 1, 0),
        'founders': (1.0, None, 0, hardware.Adjacency.WORKER, 0, 0),
    },
    'repair': {
        'counters': (1.0, None, 0, hardware.Adjacency.WORKER, 0, 0),
        'matching': (2.0, 'seam', 16, hardware.Adjacency.RACK, 1, 0),
        'museum': (1.0, 'textile', 8, hardware.Adjacency.WORKER, 2, 1),
        'workshop': (1.0, None, 0, hardware.Adjacency.WORKER, 0, 0),
    },
}
# Accelerators, adjacency and count of each guaranteed shape. Workers of the
# large fleet have two or four accelerators, so larger shapes need a rack or a
# data centre.
_LARGE_SHAPES = {
    'screening': (2, hardware.Adjacency.WORKER, 4),
    'agency': (32, hardware.Adjacency.DATA_CENTRE, 1),
    'matching': (32, hardware.Adjacency.DATA_CENTRE, 1),
    'museum': (8, hardware.Adjacency.RACK, 2),
}


def make_config(deployment: str, fleet: str = SMALL_FLEET) -> configs.Config:
    """Build the configuration of a deployment.

    :param deployment: ``shortlist`` or ``repair``.
    :param fleet: ``small`` (current size) or ``large`` (design size).
    :returns: racks and client accounts; all guarantees can be met with one
        failed worker in each data centre.
    """
    if fleet == LARGE_FLEET:
        racks = list(_list_large_racks())
        accounts = _make_large_accounts(deployment, racks)
    else:
        racks = list(_list_small_racks(deployment))
        accounts = _make_small_accounts(deployment, racks)
    return configs.Config(accounts=accounts, racks=racks, failed_workers=1)


def make_workers(config: configs.Config) -> list[hardware.Worker]:
    """List the workers that a configuration expects.

    :param config: configuration whose racks are listed.
    :returns: workers in the order of the racks.
    """
    return [
        hardware.Worker(
            name=f'{rack.data_centre}-{rack.name}-w{index}',
            region=rack.region,
            data_centre=rack.data_centre,
            rack=rack.name,
            accelerators=rack.accelerators,
        )
        for rack in config.racks
        for index in range(rack.workers)
    ]


def choose_adjacency(size: int, fleet: str) -> hardware.Adjacency:
    """Return the adjacency that jobs of a size request in the traces.

    :param size: accelerators of the gang.
    :param fleet: ``small`` or ``large``.
    :returns: worker, rack or data centre that all tasks must share.
    """
    worker_limit, rack_limit = (2, 10) if fleet == LARGE_FLEET else (8, 24)
    if size <= worker_limit:
        return hardware.Adjacency.WORKER
    if size <= rack_limit:
        return hardware.Adjacency.RACK
    return hardware.Adjacency.DATA_CENTRE


def _list_small_racks(deployment: str) -> Iterator[configs.Rack]:
    for region, data_centre, rack_sizes in _SMALL_DATA_CENTRES[deployment]:
        for index, workers in enumerate(rack_sizes):
            yield configs.Rack(
                name=f'r{index}',
                data_centre=data_centre,
                region=region,
                workers=workers,
                accelerators=_SMALL_WORKER_ACCELERATORS,
            )


def _list_large_racks() -> Iterator[configs.Rack]:
    for region in range(_LARGE_REGIONS):
        for data_centre in range(_LARGE_DATA_CENTRES_PER_REGION):
            index = 0
            for count, accelerators in _LARGE_RACKS:
                for _ in range(count):
                    yield configs.Rack(
                        name=f'r{index}',
                        data_centre=f'dc-{region}-{data_centre}',
                        region=f'region-{region}',
                        workers=_LARGE_WORKERS_PER_RACK,
                        accelerators=accelerators,
                    )
                    index += 1


def _make_small_accounts(
    deployment: str, racks: list[configs.Rack]
) -> list[configs.Account]:
    regions = list(dict.fromkeys(rack.region for rack in racks))
    capacity = sum(rack.workers * rack.accelerators for rack in racks)
    accounts = []
    for name, account_settings in _SMALL_ACCOUNTS[deployment].items():
        weight, shape, accelerators, adjacency, count, region = (
            account_settings
        )
        guarantees = []
        if shape is not None:
            guarantees.append(
                configs.Guarantee(
                    name=shape,
                    accelerators=accelerators,
                    adjacency=adjacency,
                    count=count,
                    region=regions[region],
                )
            )
        accounts.append(_make_account(name, weight, capacity, guarantees))
    return accounts


def _make_large_accounts(
    deployment: str, racks: list[configs.Rack]
) -> list[configs.Account]:
    regions = list(dict.fromkeys(rack.region for rack in racks))
    capacity = sum(rack.workers * rack.accelerators for rack in racks)
    account_kinds = list(_SMALL_ACCOUNTS[deployment])
    accounts = []
    for index in range(LARGE_ACCOUNTS):
        account_kind = account_kinds[index % len(account_kinds)]
        weight, shape = _SMALL_ACCOUNTS[deployment][account_kind][:2]
        guarantees = []
        if shape is not None:
            accelerators, adjacency, count = _LARGE_SHAPES[account_kind]
            guarantees.append(
                configs.Guarantee(
                    name=shape,
                    accelerators=accelerators,
                    adjacency=adjacency,
                    count=count,
                    region=regions[index % len(regions)],
                )
            )
        name = f'{account_kind}-{index // len(account_kinds)}'
        accounts.append(_make_account(name, weight, capacity // 4, guarantees))
    return accounts


def _make_account(
    name: str,
    weight: float,
    quota: int,
    guarantees: list[configs.Guarantee],
) -> configs.Account:
    return configs.Account(
        name=name,
        token_sha256='0' * 64,
        weight=weight,
        quota=quota,
        max_queued=20_000,
        guarantees=guarantees,
    )
