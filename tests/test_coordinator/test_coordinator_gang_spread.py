"""Tests of gangs in a fleet in which some workers fail or leave.

The loss of one worker ends the whole gang, so that a gang is as likely to be
lost as it has workers.
"""

from __future__ import annotations

from damaskpin.model import work
from tests.test_coordinator import builders

WORKERS = 160
RACK_SIZE = 8


def _occupy(ledger, free):
    """Leave a number of accelerators free on each worker.

    :param free: free accelerators by position of the worker.
    """
    for worker, left in zip(ledger.workers.values(), free, strict=True):
        worker.free_capacity = work.Resources(128_000, 256_000, left)


def _place(ledger, **more):
    job = builders.submit(
        ledger, 'gang', builders.make_step(gang=True, **more)
    )
    builders.decide(ledger)
    return list(builders.list_runs(ledger, job).values())


def test_gang_uses_few_workers_among_many_nearly_full_ones():
    """Guards against a gang that each of many workers can end.

    The tightest fit for each member alone would be another worker.
    """
    ledger = builders.make_ledger(WORKERS, RACK_SIZE)
    _occupy(ledger, [1] * (WORKERS - 2) + [8, 6])
    chosen = _place(ledger, count=13, accelerators=1)
    assert len(set(chosen)) == 2


def test_gang_that_fits_on_one_worker_takes_the_tightest_one():
    """Guards against small gangs that break up the room for large ones."""
    ledger = builders.make_ledger(WORKERS, RACK_SIZE)
    _occupy(ledger, [8] * (WORKERS - 1) + [4])
    chosen = _place(ledger, count=4, accelerators=1)
    assert set(chosen) == {f'w{WORKERS - 1}'}


def test_rest_of_a_gang_takes_the_tightest_worker():
    """Guards against a last member that takes up an idle worker."""
    ledger = builders.make_ledger(WORKERS, RACK_SIZE)
    _occupy(ledger, [8] * (WORKERS - 1) + [1])
    chosen = _place(ledger, count=9, accelerators=1)
    assert chosen.count(f'w{WORKERS - 1}') == 1
    assert len(set(chosen)) == 2


def test_gang_prefers_the_rack_that_holds_it_on_few_workers():
    """Guards against a rack that is chosen for its tight fit alone."""
    ledger = builders.make_ledger(2 * RACK_SIZE, RACK_SIZE)
    _occupy(ledger, [1] * RACK_SIZE + [8] * RACK_SIZE)
    chosen = _place(ledger, count=8, accelerators=1, same_rack=True)
    assert len(set(chosen)) == 1


def test_work_that_is_no_gang_still_fills_the_tightest_workers():
    """Guards against single work items that take up idle workers."""
    ledger = builders.make_ledger(WORKERS, RACK_SIZE)
    _occupy(ledger, [8] * (WORKERS - 4) + [1] * 4)
    step = builders.make_step(4, 1)
    job = builders.submit(ledger, 'items', step)
    builders.decide(ledger)
    assert len(set(builders.list_runs(ledger, job).values())) == 4
