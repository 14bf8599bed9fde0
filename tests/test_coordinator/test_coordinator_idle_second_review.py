"""Tests of reasons to wait that the limit on idle time leaves out."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import idle_limit
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
TICK_S = 0.125
PLAY_S = 60.0

RACK = 'r0'
# Time in seconds after which a job is over the limit on idle time, if its
# starts come to nothing: the age, a wait and the time of one more start.
LONGEST_S = (
    idle_limit.MIN_AGE_S + idle_limit.MAX_UNHEARD_S + idle_limit.MAX_START_S
)


def _list_refused(ledger, due, now, delay):
    """Return the runs whose refusal is due, with their workers.

    The first refusals of the work items of a step come one after the other.
    """
    refused = []
    for worker in ledger.workers.values():
        for run, placed in worker.runs.items():
            shift = 0.0
            if run.number == 1:
                shift = delay * run.item.index / placed.step.count
            if now >= due.setdefault(run, now + delay + shift):
                refused.append((worker, run))
    return refused


def _play_refusals(count, delay):
    """Let the rack of the data refuse all starts of a job.

    :param delay: seconds from a start to its refusal.
    :returns: seconds until a start in another rack; ``None`` without one.
    """
    ledger = builders.make_ledger()
    step = builders.make_step(count, estimate=60.0, data_rack=RACK)
    job = builders.submit(ledger, 'job', step)
    due = {}
    now = NOW
    while now < NOW + PLAY_S:
        builders.decide(ledger, now)
        used = set(builders.list_runs(ledger, job).values())
        if any(
            worker.profile.rack != RACK and worker.lifetime.worker in used
            for worker in ledger.workers.values()
        ):
            return now - NOW
        for worker, run in _list_refused(ledger, due, now, delay):
            refused = orders.RefusedRun(run, 'status 503')
            ledger.record_refusal(worker, refused)
        now += TICK_S
    return None


@pytest.mark.parametrize('delay', [0.25, 0.75, 1.5])
@pytest.mark.parametrize('count', [1, 2, 10])
def test_job_of_several_work_items_leaves_a_rack_that_refuses_it(count, delay):
    """Guards against a job that waits as some start of it is always new.

    Each start counts as work for a second, also after many that were refused.
    """
    waited = _play_refusals(count, delay)
    assert waited is not None
    assert waited <= LONGEST_S
