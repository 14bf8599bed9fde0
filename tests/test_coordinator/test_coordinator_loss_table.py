"""Random plays of a busy fleet that loses all processes at once."""

from __future__ import annotations

import functools

import pytest

from tests.test_coordinator import fault_table
from tests.test_coordinator import loss_plays
from tests.test_coordinator import loss_table
from tests.test_coordinator import random_plays

# Seed of the first row; each row has one of its own.
FIRST_SEED = 5_050_000

# Each row with one column, as a play takes over a second.
CASES = [
    pytest.param(
        FIRST_SEED + index,
        row,
        loss_table.COLUMNS[index % len(loss_table.COLUMNS)],
        id=row,
    )
    for index, row in enumerate(loss_table.ROWS)
]


@functools.cache
def _play_pair(seed, row, column):
    """Play a pair; every other one has calls that overlap.

    :returns: the simulation after the play.
    """
    mix = loss_table.make_mix(row, column)
    if seed % 2:
        mix = fault_table.get_overlapping(mix)
    return loss_plays.play(
        seed, mix, 0, has_each_fault=True, waits=random_plays.SHORT_WAITS
    )


@pytest.mark.parametrize(('seed', 'row', 'column'), CASES)
def test_loss_of_all_processes_breaks_no_promise(seed, row, column):
    """Guards against work of a wide job that never starts, or starts twice.

    All processes end at once while work lasts for 15 to 45 s, and the table's
    row disturbs what comes after that.
    """
    simulation = _play_pair(seed, row, column)
    assert simulation.hold_check is not None


@pytest.mark.parametrize(('seed', 'row', 'column'), CASES)
def test_no_job_waits_beside_room_after_a_loss(seed, row, column):
    """Guards against work that could run and does not after the loss."""
    assert not _play_pair(seed, row, column).idle_check.breaks
