"""Configuration documents of the objects in an operator's program."""

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
    """Return the configuration.

    :raises damaskpin.errors.ConfigError: with the file and line of each
        definition that is duplicate, invalid or refers to nothing.
    """
    problems = _find_problems(fleet)
    racks = [
        _convert(rack, rack.fields, configs.Rack, problems)
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
    # The order of the definitions has no meaning, so it is not kept.
    config = msgspec.structs.replace(
        config,
        racks=sorted(racks, key=lambda rack: (rack.data_centre, rack.name)),
        accounts=sorted(accounts, key=lambda account: account.name),
    )
    problems = feasibility.check_config(config)
    if problems:
        raise errors.ConfigError(_add_places(fleet, problems))
    return config


def format_jobs(fleet: library.Fleet) -> str:
    """Return the jobs as JSON, sorted by account and name.

    :raises damaskpin.errors.ConfigError: see ``build_config``.
    """
    build_config(fleet)
    found = [
        {
            'account': account.name,
            'name': job.name,
            'spec': msgspec.convert(job.fields, jobs.JobSpec),
        }
        for account in sorted(fleet.accounts, key=lambda a: a.name)
        for job in sorted(account.jobs, key=lambda job: job.name)
    ]
    text = msgspec.json.encode(found, order='sorted')
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
        ('region', region.name, region.place) for region in fleet.regions
    )
    problems += _find_duplicates(
        ('data centre', item.name, item.place) for item in data_centres
    )
    for item in data_centres:
        problems += _find_duplicates(
            (f'rack of "{item.name}"', rack.fields['name'], rack.place)
            for rack in item.racks
        )
    problems += _find_duplicates(
        ('account', account.name, account.place) for account in fleet.accounts
    )
    problems += _find_duplicates(
        ('token digest', account.fields['token_sha256'], account.place)
        for account in fleet.accounts
    )
    for account in fleet.accounts:
        for kind, items in (
            ('shape', account.shapes),
            ('job', account.jobs),
        ):
            problems += _find_duplicates(
                (f'{kind} of "{account.name}"', item.name, item.place)
                for item in items
            )
    return problems


def _build_account(
    fleet: library.Fleet, account: library.Account, problems: list[str]
) -> configs.Account | None:
    regions = {
        item.name: item.region.name for item in _list_data_centres(fleet)
    }
    shapes = {shape.name: shape for shape in account.shapes}
    for shape in account.shapes:
        for problem in _check_location(shape, regions):
            problems.append(f'{shape.place}: {problem}')
    for job in account.jobs:
        _convert(job, job.fields, jobs.JobSpec, problems)
        problem = _check_job(job, shapes, account)
        if problem:
            problems.append(f'{job.place}: {problem}')
    guarantees = [
        _convert(shape, shape.fields, configs.Guarantee, problems)
        for shape in sorted(account.shapes, key=lambda shape: shape.name)
    ]
    built = _convert(account, account.fields, configs.Account, problems)
    if built is None:
        return None
    return msgspec.structs.replace(built, guarantees=guarantees)


def _add_places(fleet: library.Fleet, problems: list[str]) -> list[str]:
    """Put the program's lines before problems that name an account."""
    places = {account.name: account.place for account in fleet.accounts}
    located = []
    for problem in problems:
        found = [
            str(places[name])
            for name in places
            if f'account "{name}"' in problem
        ]
        located.append(': '.join([*found[:1], problem]))
    return located


def _convert(
    item: library.Rack | library.Shape | library.Account | library.Job,
    fields: dict[str, object],
    type_: type[_T],
    problems: list[str],
) -> _T | None:
    try:
        return msgspec.convert(fields, type_)
    except msgspec.ValidationError as error:
        problems.append(f'{item.place}: {error}')
        return None


def _find_duplicates(
    named: Iterable[tuple[str, object, library.Place]],
) -> list[str]:
    first: dict[object, library.Place] = {}
    problems = []
    for kind, name, place in named:
        if name in first:
            problems.append(
                f'{place}: {kind} "{name}" is already defined at {first[name]}'
            )
            continue
        first[name] = place
    return problems


def _check_location(
    shape: library.Shape, regions: dict[str, str]
) -> Iterable[str]:
    region = shape.fields['region']
    data_centre = shape.fields['data_centre']
    if region not in regions.values():
        yield f'region "{region}" has no data centre'
    if data_centre is None:
        return
    if data_centre not in regions:
        yield f'data centre "{data_centre}" is not defined'
    elif regions[data_centre] != region:
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
    size = shapes[name].fields['accelerators']
    if job.fields['accelerators'] > size:
        return (
            f'job "{job.name}" needs {job.fields["accelerators"]} '
            f'accelerators, shape "{name}" has {size}'
        )
    return None
