"""Long run of random plays of the fault table.

Environment variables give the number of plays (DAMASKPIN_FUZZ_PLAYS) and the
first seed (DAMASKPIN_FUZZ_SEED). Each play has the next pair and the next
seed; DAMASKPIN_FUZZ_EXTRA adds faults to all mixes, separated by commas. The
mixes and seeds of broken plays are printed.
"""

from __future__ import annotations

import logging
import os
import sys
import traceback

from tests.test_coordinator import fault_table
from tests.test_coordinator import random_plays

ACTIONS = 80
DEFAULT_PLAYS = 2000
DEFAULT_SEED = 100_000


def main():
    """Play the pairs in turn and return the number of broken plays."""
    plays = int(os.environ.get('DAMASKPIN_FUZZ_PLAYS') or DEFAULT_PLAYS)
    first_seed = int(os.environ.get('DAMASKPIN_FUZZ_SEED') or DEFAULT_SEED)
    extra = os.environ.get('DAMASKPIN_FUZZ_EXTRA')
    extra_faults = extra.split(',') if extra else []
    logging.disable(logging.CRITICAL)
    broken = 0
    for seed in range(first_seed, first_seed + plays):
        row, column = fault_table.PAIRS[seed % len(fault_table.PAIRS)]
        mix = fault_table.get_overlapping(
            (*fault_table.make_mix(row, column), *extra_faults)
        )
        # Every other pass of the table has short waits.
        waits = random_plays.WAITS
        if seed // len(fault_table.PAIRS) % 2:
            waits = random_plays.SHORT_WAITS
        try:
            random_plays.play(seed, mix, ACTIONS, waits=waits)
        except Exception:
            broken += 1
            message = traceback.format_exc().splitlines()[-1]
            print(f'seed {seed}: {row} / {column}: {message}')
            print(
                f'  play({seed}, {mix}, {ACTIONS}, waits={waits})', flush=True
            )
        played = seed - first_seed + 1
        if played % len(fault_table.PAIRS) == 0:
            print(f'{played} plays, {broken} broken', flush=True)
    print(f'{plays} plays from seed {first_seed}, {broken} broken')
    return broken


if __name__ == '__main__':
    sys.exit(bool(main()))
