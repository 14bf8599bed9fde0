"""Tests of the configuration library and of the two example fleets."""

import inspect
import pathlib

import pytest

from damaskpin import errors
from damaskpin.model import config as configs
from damaskpin.operator import feasibility
from damaskpin.operator import library
from examples.repair import fleet as repair
from examples.shortlist import fleet as shortlist

DIGEST = 'a' * 64


def make_fleet(digest=DIGEST):
    fleet = library.Fleet(failed_workers=0)
    region = fleet.add_region('north')
    region.add_data_centre('one').add_rack('r1', 3, 8)
    account = fleet.add_account('first', digest, quota=24)
    return fleet, region, account


def render_problems(fleet):
    with pytest.raises(errors.ConfigError) as error_info:
        fleet.render()
    return error_info.value.problems


def get_calling_line():
    return inspect.currentframe().f_back.f_lineno


@pytest.mark.parametrize('example', [shortlist, repair])
def test_committed_example_is_up_to_date_and_feasible(example):
    """Guards against a committed document that its program does not print."""
    text = example.make_fleet().render()
    committed = pathlib.Path(example.__file__).with_name('config.json')
    assert committed.read_text() == text
    config = configs.parse_config(text.encode())
    assert feasibility.check_config(config) == []
    assert sum(rack.workers for rack in config.racks) == 10
    assert {rack.accelerators for rack in config.racks} == {8}
    assert max(rack.workers for rack in config.racks) == 3
    assert len({rack.data_centre for rack in config.racks}) == 3
    assert len({rack.region for rack in config.racks}) == 2
    assert len(config.accounts) == 4
    assert config.failed_workers == 1


def test_order_of_the_definitions_does_not_change_the_document():
    """Guards against documents that differ only by definition order."""

    def render(names):
        fleet, region, account = make_fleet()
        for name in names:
            fleet.add_account(name, name * 64, quota=8)
            account.add_shape(name, 1, 'worker', region)
        return fleet.render()

    assert render('bcd') == render('dbc')


def test_duplicates_are_refused_with_both_line_numbers():
    fleet, region, account = make_fleet()
    first = get_calling_line() + 1
    account.add_shape('s', 8, 'worker', region)
    account.add_shape('s', 8, 'worker', region)
    fleet.add_account('second', DIGEST, quota=1)
    [shape, token] = sorted(render_problems(fleet))
    assert shape == (
        f'{__file__}:{first + 1}: shape of "first" "s" is already defined at '
        f'{__file__}:{first}'
    )
    assert token.startswith(f'{__file__}:{first + 2}: token digest')


def test_unknown_references_are_refused_with_line_numbers():
    fleet, region, account = make_fleet()
    first = get_calling_line() + 1
    account.add_shape('a', 8, 'worker', 'south')
    account.add_shape('b', 8, 'worker', region, data_centre='two')
    account.add_job('j', 8, 'c')
    account.add_job('k', 9, 'b')
    problems = render_problems(fleet)
    assert problems == [
        f'{__file__}:{first}: region "south" has no data centre',
        f'{__file__}:{first + 1}: data centre "two" is not defined',
        f'{__file__}:{first + 2}: account "first" has no shape "c"',
        f'{__file__}:{first + 3}: job "k" needs 9 accelerators, '
        'shape "b" has 8',
    ]


def test_values_out_of_range_are_refused_with_line_numbers():
    fleet, region, account = make_fleet()
    first = get_calling_line() + 1
    account.add_shape('a', 0, 'worker', region)
    account.add_shape('b', 1, 'shelf', region)
    fleet.add_account('bad name', 'x', quota=-1)
    locations = [text.split(': ')[0] for text in render_problems(fleet)]
    assert locations == [f'{__file__}:{first + offset}' for offset in range(3)]


def test_guarantees_above_quota_are_refused_with_line_number():
    fleet = library.Fleet()
    region = fleet.add_region('north')
    region.add_data_centre('one').add_rack('r1', 3, 8)
    line = get_calling_line() + 1
    account = fleet.add_account('first', DIGEST, quota=8)
    account.add_shape('a', 4, 'worker', region, count=3)
    [problem] = render_problems(fleet)
    assert problem.startswith(f'{__file__}:{line}: ')
    assert 'guaranteed 12 accelerators, but its quota is 8' in problem


def test_jobs_are_rendered_in_sorted_order():
    text = shortlist.make_fleet().render_jobs()
    assert text.index('screen-registers') < text.index('screen-portfolio')
    assert text == shortlist.make_fleet().render_jobs()
