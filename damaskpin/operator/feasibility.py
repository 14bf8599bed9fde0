"""Checks of a configuration before it is proposed."""

from __future__ import annotations

import collections
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.model import config as configs

_PACKING_MODULE = 'damaskpin.scheduler.cells'


def check_config(config: configs.Config) -> list[str]:
    """Return the problems of a configuration, each with its place.

    :param config: configuration to check.
    :returns: one text for each problem; empty when it may be proposed.
    """
    # Packing needs names that are unique and known, and repeats the check of
    # the quotas.
    return (
        check_references(config)
        or _check_quotas(config)
        or _check_packing(config)
    )


def check_references(config: configs.Config) -> list[str]:
    """Return duplicate and unknown names of a configuration.

    :param config: configuration to check.
    """
    problems = _find_duplicates(
        (f'accounts[{index}]', f'account "{account.name}"')
        for index, account in enumerate(config.accounts)
    )
    problems += _find_duplicates(
        (
            f'racks[{index}]',
            f'rack "{rack.name}" of data centre "{rack.data_centre}"',
        )
        for index, rack in enumerate(config.racks)
    )
    problems += _check_tokens(config)
    regions: dict[str, str] = {}
    for index, rack in enumerate(config.racks):
        region = regions.setdefault(rack.data_centre, rack.region)
        if region != rack.region:
            problems.append(
                f'racks[{index}]: data centre "{rack.data_centre}" is in '
                f'region "{region}", not in "{rack.region}"'
            )
    for index, account in enumerate(config.accounts):
        place = f'accounts[{index}]'
        problems += _find_duplicates(
            (
                f'{place}.guarantees[{number}]',
                f'shape "{guarantee.name}" of account "{account.name}"',
            )
            for number, guarantee in enumerate(account.guarantees)
        )
        for number, guarantee in enumerate(account.guarantees):
            problem = _check_location(guarantee, regions)
            if problem:
                problems.append(
                    f'{place}.guarantees[{number}]: shape '
                    f'"{guarantee.name}" of account "{account.name}": '
                    f'{problem}'
                )
    return problems


def _find_duplicates(named: Iterable[tuple[str, str]]) -> list[str]:
    first: dict[str, str] = {}
    problems = []
    for place, name in named:
        if name in first:
            problems.append(f'{place}: {name} is already at {first[name]}')
            continue
        first[name] = place
    return problems


def _check_tokens(config: configs.Config) -> list[str]:
    holders = collections.defaultdict(list)
    for account in config.accounts:
        holders[account.token_sha256].append(account.name)
    # Two names of one account are reported as a duplicate already.
    return [
        f'accounts: {_join(names)} have the same token'
        for names in holders.values()
        if len(set(names)) > 1
    ]


def _check_location(
    guarantee: configs.Guarantee, regions: dict[str, str]
) -> str | None:
    if guarantee.region not in regions.values():
        return f'no rack is in region "{guarantee.region}"'
    if guarantee.data_centre is None:
        return None
    region = regions.get(guarantee.data_centre)
    if region is None:
        return f'no rack is in data centre "{guarantee.data_centre}"'
    if region != guarantee.region:
        return (
            f'data centre "{guarantee.data_centre}" is in region "{region}", '
            f'not in "{guarantee.region}"'
        )
    return None


def _check_quotas(config: configs.Config) -> list[str]:
    problems = []
    for index, account in enumerate(config.accounts):
        guaranteed = sum(
            guarantee.accelerators * guarantee.count
            for guarantee in account.guarantees
        )
        if guaranteed > account.quota:
            problems.append(
                f'accounts[{index}]: account "{account.name}" is guaranteed '
                f'{guaranteed} accelerators, but its quota is {account.quota}'
            )
    return problems


def _check_packing(config: configs.Config) -> list[str]:
    try:
        cells = importlib.import_module(_PACKING_MODULE)
    except ModuleNotFoundError as error:
        if error.name != _PACKING_MODULE:
            raise
        return []
    return cells.check_feasibility(config)


def _join(names: list[str]) -> str:
    return ' and '.join(f'"{name}"' for name in sorted(names))
