"""Conversion of the objects in an operator's program to a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from damaskpin import errors
from damaskpin.model import config as configs
from damaskpin.model import job as jobs
from damaskpin.operator import feasibility

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.operator import library

_T = TypeVar('_T')


def build_config(fleet: library.Fleet) -> configs.Config:
    """Convert a fleet to a configuration.

    :raises damaskpin.errors.ConfigError: with the file and line of each
        definition that is duplicate, invalid or has an unknown reference.
    """
    problems = _find_problems(fleet)
    racks = [
        _convert_fields(rack, rack.fields, configs.Rack, problems)
        for data_centre in _list_data_centres(fleet)
        for rack in data_centre.racks
    ]
    accounts = [
        _build_account(fleet, account, problems) for account in fleet.accounts
    ]
    if problems:
        raise errors.ConfigError(problems)
    try:
        config = msgspec.convert(
            {'failed_workers': fleet.failed_workers}, configs.Config
        )
    except msgspec.ValidationError as error:
        raise errors.ConfigError([f'Fleet: {error}']) from error
    # Racks and accounts are sorted, so that the order of the definitions in
    # the program does not change the document.
    config = msgspec.structs.replace(
        config,
        racks=sorted(racks, key=lambda rack: (rack.data_centre, rack.name)),
        accounts=sorted(accounts, key=lambda account: account.name),
    )
    problems = feasibility.check_config(config)
    if problems:
        raise errors.ConfigError(_prefix_source_lines(fleet, problems))
    return config


def format_jobs(fleet: library.Fleet) -> str:
    """Format the jobs as JSON, sorted by account and name.

    :raises damaskpin.errors.ConfigError: with the file and line of each
        invalid definition.
    """
    build_config(fleet)
    documents = [
        {
            'account': account.name,
            'name': job.name,
            'spec': msgspec.convert(job.fields, jobs.JobSpec),
        }
        for account in sorted(fleet.accounts, key=lambda a: a.name)
        for job in sorted(account.jobs, key=lambda job: job.name)
    ]
    text = msgspec.json.encode(documents, order='sorted')
    return msgspec.json.format(text, indent=2).decode() + '\n'


def _list_data_centres(fleet: library.Fleet) -> list[library.DataCentre]:
    return [
        data_centre
        for region in fleet.regions
        for data_centre in region.data_centres
    ]


def _find_problems(fleet: library.Fleet) -> list[str]:
    data_centres = _list_data_centres(fleet)
    problems = _find_duplicates(
        ('region', region.name, region.location) for region in fleet.regions
    )
    problems += _find_duplicates(
        ('data centre', data_centre.name, data_centre.location)
        for data_centre in data_centres
    )
    for data_centre in data_centres:
        problems += _find_duplicates(
            (
                f'rack of "{data_centre.name}"',
                rack.fields['name'],
                rack.location,
            )
            for rack in data_centre.racks
        )
    problems += _find_duplicates(
        ('account', account.name, account.location)
        for account in fleet.accounts
    )
    problems += _find_duplicates(
        ('token digest', account.fields['token_sha256'], account.location)
        for account in fleet.accounts
    )
    for account in fleet.accounts:
        for kind, items in (
            ('shape', account.shapes),
            ('job', account.jobs),
        ):
            problems += _find_duplicates(
                (f'{kind} of "{account.name}"', item.name, item.location)
                for item in items
            )
    return problems


def _build_account(
    fleet: library.Fleet, account: library.Account, problems: list[str]
) -> configs.Account | None:
    region_by_data_centre = {
        data_centre.name: data_centre.region.name
        for data_centre in _list_data_centres(fleet)
    }
    shapes = {shape.name: shape for shape in account.shapes}
    for shape in account.shapes:
        for problem in _check_location(shape, region_by_data_centre):
            problems.append(f'{shape.location}: {problem}')
    for job in account.jobs:
        _convert_fields(job, job.fields, jobs.JobSpec, problems)
        problem = _check_job(job, shapes, account)
        if problem:
            problems.append(f'{job.location}: {problem}')
    guarantees = [
        _convert_fields(shape, shape.fields, configs.Guarantee, problems)
        for shape in sorted(account.shapes, key=lambda shape: shape.name)
    ]
    config_account = _convert_fields(
        account, account.fields, configs.Account, problems
    )
    if config_account is None:
        return None
    return msgspec.structs.replace(config_account, guarantees=guarantees)


def _prefix_source_lines(
    fleet: library.Fleet, problems: list[str]
) -> list[str]:
    """Prefix problems of an account with the program line that defines it."""
    account_locations = {
        account.name: account.location for account in fleet.accounts
    }
    located_problems = []
    for problem in problems:
        matches = [
            str(account_locations[name])
            for name in account_locations
            if f'account "{name}"' in problem
        ]
        located_problems.append(': '.join([*matches[:1], problem]))
    return located_problems


def _convert_fields(
    item: library.Rack | library.Shape | library.Account | library.Job,
    fields: dict[str, object],
    type_: type[_T],
    problems: list[str],
) -> _T | None:
    try:
        return msgspec.convert(fields, type_)
    except msgspec.ValidationError as error:
        problems.append(f'{item.location}: {error}')
        return None


def _find_duplicates(
    definitions: Iterable[tuple[str, object, library.SourceLocation]],
) -> list[str]:
    first_locations: dict[object, library.SourceLocation] = {}
    problems = []
    for kind, name, location in definitions:
        if name in first_locations:
            problems.append(
                f'{location}: {kind} "{name}" is already defined at '
                f'{first_locations[name]}'
            )
            continue
        first_locations[name] = location
    return problems


def _check_location(
    shape: library.Shape, region_by_data_centre: dict[str, str]
) -> Iterable[str]:
    region = shape.fields['region']
    data_centre = shape.fields['data_centre']
    if region not in region_by_data_centre.values():
        yield f'region "{region}" has no data centre'
    if data_centre is None:
        return
    if data_centre not in region_by_data_centre:
        yield f'data centre "{data_centre}" is not defined'
    elif region_by_data_centre[data_centre] != region:
        yield f'data centre "{data_centre}" is not in region "{region}"'


def _check_job(
    job: library.Job,
    shapes: dict[str, library.Shape],
    account: library.Account,
) -> str | None:
    name = job.fields['shape']
    if name is None:
        return None
    if name not in shapes:
        return f'account "{account.name}" has no shape "{name}"'
    shape_accelerators = shapes[name].fields['accelerators']
    if job.fields['accelerators'] > shape_accelerators:
        return (
            f'job "{job.name}" needs {job.fields["accelerators"]} '
            f'accelerators, shape "{name}" has {shape_accelerators}'
        )
    return None
