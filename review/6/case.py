"""A worker is cut off, and its machine is then suspended."""

import functools
import pathlib

from review.second import script
from review.second import standstill

PLAN = standstill.Plan(cuts_worker=True, cut=5.5, standstill_begins=5.4)

if __name__ == '__main__':
    script.run(
        functools.partial(standstill.play, PLAN),
        pathlib.Path(__file__).parent,
    )
