"""Long run of random plays of a fault table.

Environment variables give the number of plays (DAMASKPIN_FUZZ_PLAYS), the
first seed (DAMASKPIN_FUZZ_SEED) and the table (DAMASKPIN_FUZZ_TABLE): that of
all faults, of failing gangs, of work that waits or of losses of all processes
at once. Each play has the next pair
and the next seed; DAMASKPIN_FUZZ_EXTRA adds faults to all mixes, separated by
commas. The mixes and seeds of broken plays are printed.
"""

from __future__ import annotations

import enum
import logging
import os
import sys
import traceback

from tests.test_coordinator import fault_table
from tests.test_coordinator import gang_table
from tests.test_coordinator import loss_plays
from tests.test_coordinator import loss_table
from tests.test_coordinator import random_plays
from tests.test_coordinator import waiting_table

ACTIONS = 80
DEFAULT_PLAYS = 2000
DEFAULT_SEED = 100_000
TABLES = {
    'faults': fault_table,
    'gangs': gang_table,
    'waits': waiting_table,
    'losses': loss_table,
}
# Functions that play a table other than by single actions.
PLAYERS = {'losses': loss_plays.play}
DEFAULT_TABLE = 'faults'


class Result(enum.Enum):
    """Result of a play; a job that waited for too long is told apart."""

    SOUND = 'sound'
    BROKEN = 'broken'
    WAITED = 'waited'


def main():
    """Play the pairs in turn and return the number of broken plays."""
    plays = int(os.environ.get('DAMASKPIN_FUZZ_PLAYS') or DEFAULT_PLAYS)
    first_seed = int(os.environ.get('DAMASKPIN_FUZZ_SEED') or DEFAULT_SEED)
    name = os.environ.get('DAMASKPIN_FUZZ_TABLE') or DEFAULT_TABLE
    table = TABLES[name]
    extra = os.environ.get('DAMASKPIN_FUZZ_EXTRA')
    extra_faults = extra.split(',') if extra else []
    logging.disable(logging.CRITICAL)
    broken = 0
    waits = 0
    for seed in range(first_seed, first_seed + plays):
        row, column = table.PAIRS[seed % len(table.PAIRS)]
        mix = fault_table.get_overlapping(
            (*table.make_mix(row, column), *extra_faults)
        )
        # Every other pass of the table has short waits.
        has_short_waits = seed // len(table.PAIRS) % 2
        player = PLAYERS.get(name, random_plays.play)
        result = _play(player, seed, mix, bool(has_short_waits))
        broken += result is Result.BROKEN
        waits += result is Result.WAITED
        played = seed - first_seed + 1
        if played % len(table.PAIRS) == 0:
            print(f'{played} plays, {broken} broken, {waits} with long waits')
            sys.stdout.flush()
    print(
        f'{plays} plays of {name} from seed {first_seed}, {broken} broken, '
        f'{waits} with long waits'
    )
    return broken + waits


def _play(player, seed, mix, has_short_waits):
    """Play a mix and print what was wrong.

    :param player: function that plays it.
    """
    waits = random_plays.WAITS
    if has_short_waits:
        waits = random_plays.SHORT_WAITS
    try:
        simulation = player(seed, mix, ACTIONS, waits=waits)
    except Exception:
        message = traceback.format_exc().splitlines()[-1]
        result = Result.BROKEN
    else:
        if not simulation.idle_check.breaks:
            return Result.SOUND
        message = next(iter(simulation.idle_check.breaks.values()))
        result = Result.WAITED
    print(f'seed {seed}: {message}')
    print(f'  play({seed}, {mix}, {ACTIONS}, waits={waits})', flush=True)
    return result


if __name__ == '__main__':
    sys.exit(bool(main()))
