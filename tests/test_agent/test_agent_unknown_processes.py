"""Tests of pauses after a process has not identified itself."""

from __future__ import annotations

import logging

import pytest

from damaskpin.agent import connection_pool
from tests.test_agent import pooled_worker


@pytest.fixture
def worker():
    """Return a worker without open connections."""
    return pooled_worker.Worker()


def test_pause_grows_while_a_process_does_not_identify_itself(worker):
    """Guards against calls in quick succession to an unknown process."""
    now = 0.0
    for pause in [0.1, 0.2, 0.4, 0.8, 1.6, 1.6, 1.6]:
        pooled_worker.fail_identification(worker, now)
        assert (
            worker.begin(pooled_worker.START, now + pause - 0.01).result
            == pooled_worker.UNKNOWN
        )
        now += pause + 0.001
    assert worker.pool.opened == 7


def test_pause_is_short_again_after_a_process_has_identified_itself(worker):
    """Guards against a long pause for a single bad answer later."""
    for now in [0.0, 1.0, 2.0]:
        pooled_worker.fail_identification(worker, now)
    pooled_worker.advance(
        worker.begin(pooled_worker.START, 3.0),
        pooled_worker.make_lists(pooled_worker.FORMER),
        3.0,
    )
    pooled_worker.fail_identification(worker, 4.0)
    assert worker.begin(pooled_worker.START, 4.05).result is not None
    assert worker.begin(pooled_worker.START, 4.11).result is None


def test_pause_does_not_concern_a_connection_that_is_bound(worker):
    """Guards against a sound worker without starts for one odd answer."""
    worker.open_idle(2)
    busy = worker.begin(pooled_worker.START)
    busy.get_next_call()
    other = worker.begin(pooled_worker.START)
    other.get_next_call()
    pooled_worker.fail_identification(worker, 1.0)
    pooled_worker.advance(busy, pooled_worker.ACCEPTED, 1.0)
    assert worker.begin(pooled_worker.START, 1.01).result is None
    worker.begin(pooled_worker.START, 1.01).get_next_call()
    assert (
        worker.begin(pooled_worker.START, 1.01).result == pooled_worker.UNKNOWN
    )


def test_at_most_one_record_a_second_is_logged(worker, caplog):
    """Guards against a log that fills up, and against one without a trace."""
    caplog.set_level(logging.WARNING, connection_pool.LOG.name)
    for index in range(100):
        worker.pool.record_no_identity(index * 0.05, 'no birth')
    assert 4 <= len(caplog.records) <= 6
    assert {record.reason for record in caplog.records} == {'no birth'}
