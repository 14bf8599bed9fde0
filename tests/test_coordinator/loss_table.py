"""Table of losses of all processes at once, and of what meets them.

A row is what the loss meets, a column which processes are lost.
"""

from __future__ import annotations

from tests.test_coordinator import loss_plays
from tests.test_coordinator import random_plays

ROWS = {
    'nothing else': (),
    'start calls': ('late start calls', 'start outages'),
    'stop calls': ('late stop calls', 'cancellations'),
    'store writes': ('late store writes', 'store outages'),
    'calls to the next process': (
        'late start calls',
        'late stop calls',
        random_plays.OUTLIVING_CALLS,
    ),
    'clock steps': ('clock steps', 'new processes'),
    'takeovers': ('coordinators', 'coordinators', 'late store writes'),
    'crashes': ('crashing work', 'crashing work', 'chance crashes'),
    'cut workers': ('cuts', 'silence', 'coordinators'),
    'lost workers': ('lost instances', 'restarts before loss', 'coordinators'),
    'messages': ('late reports', 'lost messages', 'standstills'),
}
COLUMNS = loss_plays.LOSSES

PAIRS = tuple((row, column) for row in ROWS for column in COLUMNS)


def make_mix(row, column):
    """Return the names of the faults of a play that tries a pair."""
    return (*ROWS[row], column)
