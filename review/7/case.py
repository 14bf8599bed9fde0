"""A machine is cut off, and suspended at the end of the cut."""

import functools
import pathlib

from review.second import script
from review.second import standstill

PLAN = standstill.Plan(cuts_worker=False, cut=12.0, standstill_begins=11.5)

if __name__ == '__main__':
    script.run(
        functools.partial(standstill.play, PLAN),
        pathlib.Path(__file__).parent,
    )
