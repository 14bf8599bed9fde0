"""Short runs of the soak test with fixed seeds on real processes."""

from __future__ import annotations

import asyncio
import logging

import pytest

from soak import __main__ as soak
from tests.test_soak import suspensions

# A seed without a known failure, and seeds that failed once with the cause.
SEEDS = [
    pytest.param(7, 5.0, id='plain'),
    # After a worker restarted under the same id, calls still reached the old
    # server over open connections, so the ends of new runs were never listed.
    pytest.param(2, 6.0, id='worker-restart'),
    # A worker was cut off and its lease had expired, but the oracle took its
    # run for a live one.
    pytest.param(377, 5.0, id='lease-ended-unseen'),
    # A stopping entry answered once without JSON; the cause is unknown.
    pytest.param(136, 5.0, id='answer-without-json'),
]


@pytest.mark.timeout(120)
@pytest.mark.parametrize(('seed', 'seconds'), SEEDS)
def test_guarantees_hold_under_random_faults(seed, seconds, tmp_path):
    """No job is lost, run twice at once, or run after a refusal."""
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    assert asyncio.run(soak.run_seed(seed, seconds, tmp_path)) == []


@pytest.mark.timeout(120)
def test_guarantees_hold_while_machines_are_suspended(tmp_path, monkeypatch):
    """As above; agents stand still together with the clocks of their workers.

    Guards against successors of runs whose lease ends later for that.
    """
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    monkeypatch.setattr(soak.fleets, 'Fleet', suspensions.SuspendingFleet)
    assert asyncio.run(soak.run_seed(11, 8.0, tmp_path)) == []


@pytest.mark.timeout(120)
def test_submitted_job_completes(tmp_path):
    """A job passes the entry, store, coordinator, agent and worker."""
    assert asyncio.run(_run_one_job(tmp_path)) == 'completed'


async def _run_one_job(folder):
    rng = soak.random.Random(5)
    durations = {}
    oracle = soak.oracles.Oracle(rng)
    fleet = soak.fleets.Fleet(
        folder, oracle, durations, soak.fleets.FIRST_PORT
    )
    job_client = soak.callers.JobClient(fleet, rng, durations, oracle)
    try:
        await fleet.start(1, 1)
        while not job_client.accepted:
            await job_client.submit_job()
        (job,) = job_client.accepted
        state = ''
        while state != 'completed':
            await asyncio.sleep(0.2)
            _, body = await job_client.send_request('GET', job)
            state = body.get('state', '')
        assert oracle.violations == []
        return state
    finally:
        await fleet.close()
