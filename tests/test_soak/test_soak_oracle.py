"""Tests of what the soak holds against the programs."""

from __future__ import annotations

import random

from soak import oracle as oracles
from soak import worker as workers

TASK = '0123456789abcdef.0.0.0'


def _start(worker, number, until):
    body = {'task': TASK, 'run': number, 'spec': 'x', 'untilMs': until}
    assert worker.start(body) == (200, '')


def _make():
    oracle = oracles.Oracle(random.Random(1))
    durations = {'x': 60.0}
    made = [
        workers.Worker(name, '127.0.0.1:1', oracle, durations)
        for name in ('w0', 'w1')
    ]
    return oracle, *made


def test_second_run_beside_a_live_one_is_a_violation():
    """The soak must see the fault that it is there for."""
    oracle, one, other = _make()
    _start(one, 1, one.get_clock() + 5000)
    _start(other, 2, other.get_clock() + 5000)
    assert len(oracle.violations) == 1


def test_run_whose_lease_has_ended_is_not_live():
    """Seed 377: a worker that is cut off ends its runs unseen."""
    oracle, one, other = _make()
    _start(one, 1, one.get_clock() + 1)
    one.until = one.get_clock() - 1
    _start(other, 2, other.get_clock() + 5000)
    assert oracle.violations == []
