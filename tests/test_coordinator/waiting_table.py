"""Table of what may keep work from starting, alone, in pairs and in takeovers.

A row is what may hold work that could run. A column is what it meets: nothing,
a takeover, or another row. Each pair has a mix of faults of the random plays.
"""

from __future__ import annotations

from tests.test_coordinator import random_plays
from tests.test_coordinator import waiting_actions

ROWS = {
    'suspects of crashes': ('crashing work', 'chance crashes'),
    'starts not carried out': ('start outages', 'late start calls'),
    'store writes': ('store outages', 'late store writes'),
    'lost workers': ('lost instances',),
    'lost restarted workers': ('restarts before loss',),
    'cut workers': ('cuts', 'silence'),
    'stop orders': ('stop outages', 'late stop calls', 'cancellations'),
    'unrecorded runs': (
        'late calls',
        'store outages',
        'coordinators',
        random_plays.OUTLIVING_CALLS,
    ),
    'reservations': ('wide gangs',),
    'refused starts': ('busy workers', 'chains'),
    'racks': ('lost racks', 'data racks'),
    'steps': ('chains', 'late reports'),
    'draining workers': ('drains', 'leaves'),
}

ALONE = 'alone'
TAKEOVER = 'takeover'
COLUMNS = {ALONE: (), TAKEOVER: ('coordinators', 'coordinators'), **ROWS}


def list_pairs():
    """Return each row with each column; two rows meet once."""
    names = tuple(ROWS)
    pairs = []
    for position, row in enumerate(names):
        columns = (ALONE, TAKEOVER, *names[position + 1 :])
        pairs.extend((row, column) for column in columns)
    return tuple(pairs)


PAIRS = list_pairs()


def make_mix(row, column):
    """Return the names of the faults of a play that tries a pair."""
    mix = (*ROWS[row], *COLUMNS[column])
    if not waiting_actions.is_any_here(mix):
        # Plays with this action have workers that stay idle.
        mix = (*mix, 'chains')
    return mix
