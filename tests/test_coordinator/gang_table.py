"""Table of what tells of the ends of a gang's members, and of disturbances.

The rows and columns are those of the fault table, for runs of gangs in which
several members fail.
"""

from __future__ import annotations

from tests.test_coordinator import fault_table
from tests.test_coordinator import gang_failures
from tests.test_coordinator import random_plays

FAULT = gang_failures.FAULT

ROWS = {
    'failures alone': fault_table.Row(
        'each failed member is a failed run', None, None, (FAULT,)
    ),
    'list of ends': fault_table.Row(
        'a failure that is listed again, or later, is another one',
        'late polls',
        'lost polls',
        (FAULT, 'reset connections'),
    ),
    'report': fault_table.Row(
        'a failure that is reported after the next run is its own',
        'late reports',
        'lost reports',
        (FAULT,),
    ),
    'orders': fault_table.Row(
        'a failure that is not acknowledged has not been counted',
        'late orders',
        'lost orders',
        (FAULT,),
    ),
    'store write': fault_table.Row(
        'a failure that the next coordinator reads has not been counted',
        'late store writes',
        'lost store writes',
        (FAULT,),
    ),
    'start call': fault_table.Row(
        'members that have not begun cannot fail',
        'late start calls',
        'lost start calls',
        (FAULT, 'busy workers'),
    ),
    'stop call': fault_table.Row(
        'members that are stopped cannot fail',
        'late stop calls',
        'lost stop calls',
        (FAULT,),
    ),
    'removal': fault_table.Row(
        'a removed member has not failed',
        'late reports',
        'lost polls',
        (FAULT, 'cuts', 'silence', random_plays.UNHEARD_LEAVES),
    ),
}

PAIRS = tuple((row, column) for row in ROWS for column in fault_table.COLUMNS)


def make_mix(row_name, column):
    """Return the names of the faults of a play that tries a pair.

    The failures are drawn twice as often as the other faults.
    """
    mix = fault_table.make_mix(row_name, column, ROWS)
    return (*mix, FAULT)
