"""Random plays of each pair of the table of what may keep work waiting."""

from __future__ import annotations

import functools

import pytest

from tests.test_coordinator import fault_table
from tests.test_coordinator import random_plays
from tests.test_coordinator import waiting_actions
from tests.test_coordinator import waiting_table

ACTIONS = 24
# Seed of the first pair; each pair has one of its own.
FIRST_SEED = 470_000

CASES = [
    pytest.param(FIRST_SEED + index, row, column, id=f'{row}-{column}')
    for index, (row, column) in enumerate(waiting_table.PAIRS)
]


@functools.cache
def _play_pair(seed, row, column):
    """Play a pair; every other one has calls that overlap.

    :returns: the simulation after the play.
    """
    mix = waiting_table.make_mix(row, column)
    if seed % 2:
        mix = fault_table.get_overlapping(mix)
    return random_plays.play(
        seed,
        mix,
        ACTIONS,
        has_each_fault=True,
        waits=random_plays.SHORT_WAITS,
    )


@pytest.mark.parametrize(('seed', 'row', 'column'), CASES)
def test_pair_ends_all_work_and_breaks_no_promise(seed, row, column):
    """Guards against work that never starts, or that starts twice.

    Machines are lost for good, and whatever else may keep work from starting
    meets them, a takeover or nothing.
    """
    simulation = _play_pair(seed, row, column)
    assert len(simulation.instances) >= waiting_actions.MIN_INSTANCES


@pytest.mark.parametrize(('seed', 'row', 'column'), CASES)
def test_pair_lets_no_job_wait_beside_idle_workers(seed, row, column):
    """Guards against work that could run and does not after the last fault."""
    assert not _play_pair(seed, row, column).idle_check.breaks
