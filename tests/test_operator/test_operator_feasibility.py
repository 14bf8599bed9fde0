"""Tests of the consistency checks of a configuration."""

import sys
import types

import msgspec
import pytest

from damaskpin.model import config as configs
from damaskpin.operator import feasibility

RACKS = [
    {
        'name': 'r1',
        'data_centre': 'd1',
        'region': 'north',
        'workers': 3,
        'accelerators': 8,
    },
    {
        'name': 'r1',
        'data_centre': 'd2',
        'region': 'south',
        'workers': 3,
        'accelerators': 8,
    },
]
SHAPE = {
    'name': 's',
    'accelerators': 8,
    'adjacency': 'worker',
    'count': 1,
    'region': 'north',
}


def make_account(name='a', shapes=(SHAPE,), quota=64):
    return {
        'name': name,
        'token_sha256': name * 64,
        'quota': quota,
        'guarantees': list(shapes),
    }


def check(accounts, racks=RACKS):
    return feasibility.check_config(
        msgspec.convert({'accounts': accounts, 'racks': racks}, configs.Config)
    )


@pytest.mark.parametrize(
    ('accounts', 'racks', 'expected'),
    [
        ([make_account()], RACKS, []),
        (
            [make_account(), make_account()],
            RACKS,
            ['accounts[1]: account "a" is already at accounts[0]'],
        ),
        (
            [make_account(), dict(make_account('b'), token_sha256='a' * 64)],
            RACKS,
            ['accounts: "a" and "b" have the same token'],
        ),
        (
            [make_account(shapes=[SHAPE, SHAPE])],
            RACKS,
            [
                'accounts[0].guarantees[1]: shape "s" of account "a" is '
                'already at accounts[0].guarantees[0]'
            ],
        ),
        (
            [make_account(shapes=[dict(SHAPE, region='east')])],
            RACKS,
            [
                'accounts[0].guarantees[0]: shape "s" of account "a": '
                'no rack is in region "east"'
            ],
        ),
        (
            [make_account(shapes=[dict(SHAPE, data_centre='d9')])],
            RACKS,
            [
                'accounts[0].guarantees[0]: shape "s" of account "a": '
                'no rack is in data centre "d9"'
            ],
        ),
        (
            [make_account(shapes=[dict(SHAPE, data_centre='d2')])],
            RACKS,
            [
                'accounts[0].guarantees[0]: shape "s" of account "a": '
                'data centre "d2" is in region "south", not in "north"'
            ],
        ),
        (
            [],
            [RACKS[0], RACKS[0], dict(RACKS[0], name='r2', region='south')],
            [
                'racks[1]: rack "r1" of data centre "d1" is already at '
                'racks[0]',
                'racks[2]: data centre "d1" is in region "north", not in '
                '"south"',
            ],
        ),
        (
            [make_account(quota=15, shapes=[dict(SHAPE, count=2)])],
            RACKS,
            [
                'accounts[0]: account "a" is guaranteed 16 accelerators, but '
                'its quota is 15'
            ],
        ),
    ],
)
def test_problem_is_reported_with_its_path(accounts, racks, expected):
    assert check(accounts, racks) == expected


def test_packing_problems_are_reported(monkeypatch):
    """Guards against accepting guarantees that do not fit the racks."""
    cells = types.ModuleType('cells')
    cells.check_feasibility = lambda config: ['shape "s" does not fit']
    monkeypatch.setitem(sys.modules, 'damaskpin.scheduler.cells', cells)
    assert check([make_account()]) == ['shape "s" does not fit']
