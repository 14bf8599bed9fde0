"""Short seeded run of the soak on real processes."""

from __future__ import annotations

import asyncio
import logging

import pytest

from soak import __main__ as soak

# Seeds that once failed, with their cause, and a plain one.
SEEDS = [
    pytest.param(7, 5.0, id='plain'),
    # A worker that restarts under its id got the stand-in's old connections;
    # its ends were never listed.
    pytest.param(2, 6.0, id='worker-restart'),
    # The oracle took a run on a worker that was cut off, and whose lease had
    # ended, for a live one.
    pytest.param(377, 5.0, id='lease-ended-unseen'),
    # One answer that was no JSON while an entry stopped; not traced.
    pytest.param(136, 5.0, id='answer-without-json'),
]


@pytest.mark.timeout(120)
@pytest.mark.parametrize(('seed', 'seconds'), SEEDS)
def test_promises_hold_on_real_processes(seed, seconds, tmp_path):
    """Work that is lost, doubled or refused in vain shows here."""
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    assert asyncio.run(soak.run_seed(seed, seconds, tmp_path)) == []


@pytest.mark.timeout(120)
def test_one_job_goes_from_a_caller_to_completed(tmp_path):
    """The whole path: entry, store, coordinator, agent and worker."""
    assert asyncio.run(_complete_one(tmp_path)) == 'completed'


async def _complete_one(folder):
    rng = soak.random.Random(5)
    durations = {}
    oracle = soak.oracles.Oracle(rng)
    fleet = soak.fleets.Fleet(
        folder, oracle, durations, soak.fleets.FIRST_PORT
    )
    callers = soak.callers_module.Callers(fleet, rng, durations, oracle)
    try:
        await fleet.start(1, 1)
        while not callers.accepted:
            await callers.hand_in()
        (job,) = callers.accepted
        state = ''
        while state != 'completed':
            await asyncio.sleep(0.2)
            _, body = await callers.call('GET', job)
            state = body.get('state', '')
        assert oracle.violations == []
        return state
    finally:
        await fleet.close()
