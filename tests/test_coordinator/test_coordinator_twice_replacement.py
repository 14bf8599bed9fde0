"""Tests of worker processes that are replaced under their id.

Each seed broke a rule on 5f58306, where a call that was meant for one process
could be the first one to reach the next. What a play draws has changed since,
as the first call of a connection draws as well.
"""

from __future__ import annotations

import pytest

from tests.test_coordinator import random_plays

ACTIONS = 80

NEW_PROCESSES = ('clock steps', 'new processes', 'smaller workers')
LATE_CALLS = ('smaller workers', 'new processes', 'late calls')
OVERLAP = (
    'agent restarts',
    'new processes',
    'late calls',
    'coordinators',
    'lost messages',
    'late heartbeats',
    'smaller workers',
    random_plays.OVERLAPPING_CALLS,
)
OVERLAP_AND_LOWER_BIRTHS = (*OVERLAP, 'clock steps')
SAME_CAPACITY = tuple(
    fault for fault in OVERLAP_AND_LOWER_BIRTHS if fault != 'smaller workers'
)


@pytest.mark.parametrize('seed', [30014, 30023, 30031, 30061, 30107])
def test_random_plays_with_replaced_workers(seed):
    """Guards against starts that reach a smaller process, or run twice.

    No call is late or lost. Seeds 30023 and 30107 had a start after an end,
    the others an overcommitted worker.
    """
    random_plays.play(seed, NEW_PROCESSES, ACTIONS)


@pytest.mark.parametrize('seed', [30003, 30009, 30043, 30062])
def test_random_plays_with_replaced_workers_and_late_calls(seed):
    """Guards against starts that reach a smaller process.

    Seed 30043 had a start after the last allowed failure, the others an
    overcommitted worker.
    """
    random_plays.play(seed, LATE_CALLS, ACTIONS)


@pytest.mark.parametrize('seed', [30023, 30037, 30050, 30077, 30078])
def test_random_plays_with_replaced_workers_while_calls_overlap(seed):
    """Guards against calls to a former process that reach the next one.

    Each seed had an overcommitted worker.
    """
    random_plays.play(seed, OVERLAP, ACTIONS)


@pytest.mark.parametrize('seed', [30026, 30038, 30046, 30056, 30057])
def test_random_plays_with_lower_births_while_calls_overlap(seed):
    """Guards against births that are taken for the order of processes.

    Seed 30046 had a start after the last allowed failure, the others an
    overcommitted worker.
    """
    random_plays.play(seed, OVERLAP_AND_LOWER_BIRTHS, ACTIONS)


def test_random_play_with_lower_births_of_equal_capacity():
    """Guards against a start after the last allowed failure."""
    random_plays.play(30114, SAME_CAPACITY, ACTIONS)
