"""Table of what a process says or is told, and what may disturb it.

A row is a call, an answer or a message, with what it may wrongly prove. A
column is a disturbance. Each pair has a mix of faults of the random plays that
tries it.
"""

from __future__ import annotations

from tests.test_coordinator import random_plays


class Row:
    """Something that a process says or is told.

    :ivar proof: what it may wrongly prove.
    :ivar late: fault that makes it late; ``None`` for none.
    :ivar lost: fault that loses it; ``None`` for none.
    :ivar occasions: faults and actions that make a process say it, beside the
        submissions and ends of runs of each play.
    """

    def __init__(self, proof, late, lost, occasions=()):
        self.proof = proof
        self.late = late
        self.lost = lost
        self.occasions = occasions


LATE = 'late arrival'
LOSS = 'loss'

ROWS = {
    'start call': Row(
        'the run is on the worker that it was placed on, or will never be',
        'late start calls',
        'lost start calls',
        ('busy workers',),
    ),
    'stop call': Row(
        'the run has ended and will not start any more',
        'late stop calls',
        'lost stop calls',
        ('cancellations',),
    ),
    'lease of a poll': Row(
        'the runs have lapsed by a certain time',
        'late polls',
        'lost polls',
        ('silence',),
    ),
    'acknowledgement of a poll': Row(
        'the acknowledged ends have been read, and no others',
        'late polls',
        'lost polls',
        ('cancellations', 'reset connections'),
    ),
    'list of running runs': Row(
        'a run that is not listed has ended or has never started',
        # An answer later than its timeout is not read, so that only calls
        # that overlap have late answers.
        random_plays.OVERLAPPING_CALLS,
        'lost polls',
        ('hidden births', 'reset connections'),
    ),
    'list of ends': Row(
        'the run of this process has ended, and there are no other ends',
        random_plays.OVERLAPPING_CALLS,
        'lost polls',
        (random_plays.MANY_ENDS,),
    ),
    'heartbeat': Row(
        'the process that it names is the current one, and the former ended',
        'late heartbeats',
        'lost heartbeats',
        ('drains',),
    ),
    'notice of leaving': Row(
        'the worker has ended, and its runs with it',
        'late leaves',
        'lost leaves',
        ('leaves', random_plays.UNHEARD_LEAVES),
    ),
    'report': Row(
        'runs that it lists, has as refused or lacks are so now',
        'late reports',
        'lost reports',
        ('busy workers',),
    ),
    'orders': Row(
        'the coordinator has decided so for this process, and still does',
        'late orders',
        'lost orders',
        ('cancellations', 'drains'),
    ),
    'store write': Row(
        'the number of a run, or its end, is recorded',
        'late store writes',
        'lost store writes',
        ('cancellations',),
    ),
}

# Faults of each disturbance that does not concern the row's own way.
COLUMNS = {
    'replacement': ('new processes',),
    'standstill': ('standstills',),
    LATE: (),
    LOSS: (),
    # New processes bring the capacity back, so that it can fall again.
    'smaller capacity': (
        'smaller workers',
        'smaller workers that start',
        'new processes',
    ),
    'lower birth': ('clock steps', 'new processes'),
    'agent restart': ('agent restarts',),
    'coordinator change': ('coordinators',),
}

# Machines that are suspended with their worker, whose clock then stands still,
# are tried with each row and with each column. These pairs have columns and a
# row of their own and follow the others, which so keep their seeds.
SUSPENSION = 'suspended machine'
SUSPENSION_FAULTS = ('suspended machines',)
LEASE_TIME = 'lease time'
LEASE_TIME_ROW = Row(
    'a lease has ended on a clock that may have stood still meanwhile',
    None,
    None,
    (*SUSPENSION_FAULTS, 'cuts', 'silence'),
)
ALL_ROWS = {**ROWS, LEASE_TIME: LEASE_TIME_ROW}
ALL_COLUMNS = {**COLUMNS, SUSPENSION: SUSPENSION_FAULTS}

# Each pair can occur: where the disturbance does not concern the sender, it
# may come while the call, the answer or the message is under way.
USUAL_PAIRS = tuple((row, column) for row in ROWS for column in COLUMNS)
SUSPENSION_PAIRS = (
    *((row, SUSPENSION) for row in ROWS),
    *((LEASE_TIME, column) for column in ALL_COLUMNS),
)
PAIRS = USUAL_PAIRS + SUSPENSION_PAIRS


def make_mix(row_name, column, rows=ALL_ROWS):
    """Return the names of the faults of a play that tries a pair.

    :param rows: rows by name, of this table or of another one.
    """
    row = rows[row_name]
    # Other disturbances come while it is under way.
    way = row.lost if column == LOSS else row.late
    ways = () if way is None else (way,)
    column_faults = ALL_COLUMNS[column]
    faults = dict.fromkeys((*row.occasions, *column_faults, *ways))
    # The faults of the column are drawn twice as often as the others.
    return (*faults, *column_faults)


def get_overlapping(mix):
    """Return a mix in which calls take time and overlap."""
    if random_plays.OVERLAPPING_CALLS in mix:
        return tuple(mix)
    return (*mix, random_plays.OVERLAPPING_CALLS)
