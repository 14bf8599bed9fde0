"""Random plays of each pair of the table of failing gangs."""

from __future__ import annotations

import pytest

from tests.test_coordinator import gang_table
from tests.test_coordinator import random_plays

ACTIONS = 40
# Plays of a pair until several members of one run of a gang have failed.
MAX_PLAYS = 4
# Seed of the first pair; each pair has one of its own.
FIRST_SEED = 47_000

CASES = [
    pytest.param(FIRST_SEED + index, row, column, id=f'{row}-{column}')
    for index, (row, column) in enumerate(gang_table.PAIRS)
]


@pytest.mark.parametrize(('seed', 'row', 'column'), CASES)
def test_members_that_fail_together_are_one_failed_run(seed, row, column):
    """Guards against a job shown as failed although it has attempts left.

    It also guards against a gang that goes on after its last attempt.
    """
    mix = gang_table.make_mix(row, column)
    for attempt in range(MAX_PLAYS):
        simulation = random_plays.play(
            seed + 1000 * attempt,
            mix,
            ACTIONS,
            has_each_fault=True,
            waits=random_plays.SHORT_WAITS,
        )
        if simulation.oracle.failures.count_shared_runs():
            return
    pytest.fail(f'no members failed in one run in {MAX_PLAYS} plays of {mix}')
