"""Consistency checks of a configuration before it is proposed."""

from __future__ import annotations

import collections
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.model import config as configs

_PACKING_MODULE = 'damaskpin.scheduler.cells'


def check_config(config: configs.Config) -> list[str]:
    """Check names, quotas and packing of a configuration.

    :param config: configuration to check.
    :returns: one text for each problem, with the path of the value; empty if
        the configuration may be proposed.
    """
    # The packing check requires unique and known names. It also checks quotas
    # again, so it runs only if the earlier checks found no problems.
    return (
        check_references(config)
        or _check_quotas(config)
        or _check_packing(config)
    )


def check_references(config: configs.Config) -> list[str]:
    """Check a configuration for duplicate and unknown names.

    :param config: configuration to check.
    :returns: one text for each problem, with the path of the value.
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
    region_by_data_centre: dict[str, str] = {}
    for index, rack in enumerate(config.racks):
        region = region_by_data_centre.setdefault(
            rack.data_centre, rack.region
        )
        if region != rack.region:
            problems.append(
                f'racks[{index}]: data centre "{rack.data_centre}" is in '
                f'region "{region}", not in "{rack.region}"'
            )
    for index, account in enumerate(config.accounts):
        path = f'accounts[{index}]'
        problems += _find_duplicates(
            (
                f'{path}.guarantees[{guarantee_index}]',
                f'shape "{guarantee.name}" of account "{account.name}"',
            )
            for guarantee_index, guarantee in enumerate(account.guarantees)
        )
        for guarantee_index, guarantee in enumerate(account.guarantees):
            problem = _check_location(guarantee, region_by_data_centre)
            if problem:
                problems.append(
                    f'{path}.guarantees[{guarantee_index}]: shape '
                    f'"{guarantee.name}" of account "{account.name}": '
                    f'{problem}'
                )
    return problems


def _find_duplicates(paths_and_names: Iterable[tuple[str, str]]) -> list[str]:
    first_paths: dict[str, str] = {}
    problems = []
    for path, name in paths_and_names:
        if name in first_paths:
            problems.append(
                f'{path}: {name} is already at {first_paths[name]}'
            )
            continue
        first_paths[name] = path
    return problems


def _check_tokens(config: configs.Config) -> list[str]:
    account_names = collections.defaultdict(list)
    for account in config.accounts:
        account_names[account.token_sha256].append(account.name)
    # Accounts with the same name and token are already reported as
    # duplicates.
    return [
        f'accounts: {_format_names(names)} have the same token'
        for names in account_names.values()
        if len(set(names)) > 1
    ]


def _check_location(
    guarantee: configs.Guarantee, region_by_data_centre: dict[str, str]
) -> str | None:
    if guarantee.region not in region_by_data_centre.values():
        return f'no rack is in region "{guarantee.region}"'
    if guarantee.data_centre is None:
        return None
    region = region_by_data_centre.get(guarantee.data_centre)
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
        guaranteed_accelerators = sum(
            guarantee.accelerators * guarantee.count
            for guarantee in account.guarantees
        )
        if guaranteed_accelerators > account.quota:
            problems.append(
                f'accounts[{index}]: account "{account.name}" is guaranteed '
                f'{guaranteed_accelerators} accelerators, but its quota is '
                f'{account.quota}'
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


def _format_names(names: list[str]) -> str:
    return ' and '.join(f'"{name}"' for name in sorted(names))
