"""Tests of connections that are bound to one process of the worker."""

from __future__ import annotations

import pytest

from damaskpin.agent import calls
from damaskpin.agent import connection_pool
from tests.test_agent import pooled_worker


@pytest.fixture
def worker():
    """Return a worker without open connections."""
    return pooled_worker.Worker()


@pytest.mark.parametrize(
    'call', [pooled_worker.POLL, pooled_worker.START, pooled_worker.STOP]
)
def test_first_call_of_a_connection_has_no_effect(call, worker):
    """Guards against a start or a lease for a process that is not known."""
    exchange = worker.begin(call)
    assert (
        pooled_worker.advance(
            exchange, pooled_worker.make_lists(pooled_worker.FORMER)
        )
        == pooled_worker.IDENTIFICATION
    )
    assert exchange.result is None
    assert exchange.get_next_call() == call


def test_bound_connection_is_used_again_without_another_identification(worker):
    """Guards against two calls where one is enough."""
    worker.open_idle(1)
    exchange = worker.begin(pooled_worker.STOP)
    assert (
        pooled_worker.advance(exchange, pooled_worker.ACCEPTED)
        == pooled_worker.STOP
    )
    assert exchange.result == pooled_worker.ACCEPTED
    assert worker.pool.opened == 1


@pytest.mark.parametrize(
    'call', [pooled_worker.POLL, pooled_worker.START, pooled_worker.STOP]
)
def test_call_is_not_sent_to_another_process(call, worker):
    """Guards against a start that the next process carries out."""
    exchange = worker.begin(call)
    pooled_worker.advance(
        exchange, pooled_worker.make_lists(pooled_worker.NEXT, running=2), 5.0
    )
    assert exchange.result == calls.OtherProcess(pooled_worker.NEXT, 2)
    # The connection has answered, and serves calls for its own process.
    worker.pool.discard_silent(4.0)
    next_poll = calls.PollCall(pooled_worker.NEXT, 5, 0, None, 0.5, 7)
    assert worker.begin(next_poll).get_next_call() == next_poll
    assert worker.list_open() == [0]


def test_call_for_the_former_process_uses_no_connection_to_next(worker):
    """Guards against a start that leaves for another process."""
    pooled_worker.advance(
        worker.begin(pooled_worker.START),
        pooled_worker.make_lists(pooled_worker.NEXT),
    )
    exchange = worker.begin(pooled_worker.START)
    assert exchange.get_next_call() == pooled_worker.IDENTIFICATION
    assert worker.pool.opened == 2


@pytest.mark.parametrize(
    'answer', [pooled_worker.NO_BIRTH, pooled_worker.MALFORMED]
)
def test_process_without_a_birth_gets_no_further_call(answer, worker):
    """Guards against a start for a process that can't be told from another.

    A birth of another type counts as malformed.
    """
    assert (
        pooled_worker.fail_identification(worker, 0.0, answer)
        == pooled_worker.UNKNOWN
    )
    assert worker.list_open() == []


@pytest.mark.parametrize(
    'refusal',
    [
        calls.Refused(calls.OTHER_LIFETIME),
        calls.Refused('fence', outranked=True),
        calls.Refused('status 503'),
    ],
)
def test_refused_identification_is_the_result_of_the_call(refusal, worker):
    """Guards against a start that leaves after status 421, 409 or 503.

    The agent has to learn that the token is too low, or the id another one.
    """
    exchange = worker.begin(pooled_worker.START)
    pooled_worker.advance(exchange, refusal)
    assert exchange.result == refusal
    # The next call identifies the process on the same connection.
    assert worker.list_open() == [0]
    assert (
        pooled_worker.advance(
            worker.begin(pooled_worker.START),
            pooled_worker.make_lists(pooled_worker.FORMER),
        )
        == pooled_worker.IDENTIFICATION
    )
    assert worker.pool.opened == 1


def test_refused_identification_on_a_connection_that_has_ended(worker):
    """Guards against a call that fails as a kept connection has ended."""
    pooled_worker.advance(
        worker.begin(pooled_worker.START), calls.Refused('status 503')
    )
    exchange = worker.begin(pooled_worker.START)
    assert (
        pooled_worker.advance(exchange, pooled_worker.UNSENT)
        == pooled_worker.IDENTIFICATION
    )
    assert exchange.result is None
    assert (
        pooled_worker.advance(exchange, pooled_worker.UNSENT)
        == pooled_worker.IDENTIFICATION
    )
    assert exchange.result == pooled_worker.UNSENT
    assert worker.list_open() == []


@pytest.mark.parametrize('refused', [True, False])
def test_call_after_an_unanswered_identification_counts_as_unsent(
    refused, worker
):
    """Guards against a start that blocks its run although it never left.

    A refused connection is told, as it proves a departure.
    """
    exchange = worker.begin(pooled_worker.START)
    pooled_worker.advance(
        exchange, calls.Unanswered('reason', refused=refused)
    )
    assert exchange.result == calls.Unanswered('reason', False, refused)
    assert worker.list_open() == []


@pytest.mark.parametrize(
    'result', [pooled_worker.SILENCE, pooled_worker.MALFORMED]
)
def test_call_without_a_readable_answer_counts_as_sent(result, worker):
    """Guards against a run that executes twice."""
    worker.open_idle(1)
    exchange = worker.begin(pooled_worker.START)
    pooled_worker.advance(exchange, result)
    assert exchange.result == result
    assert exchange.result.sent
    assert worker.list_open() == []


def test_call_on_an_ended_connection_is_sent_after_identification(
    worker,
):
    """Guards against a start that fails when the server ends a connection."""
    worker.open_idle(1)
    exchange = worker.begin(pooled_worker.START)
    assert (
        pooled_worker.advance(exchange, pooled_worker.UNSENT)
        == pooled_worker.START
    )
    assert exchange.result is None
    assert (
        pooled_worker.advance(
            exchange, pooled_worker.make_lists(pooled_worker.FORMER)
        )
        == pooled_worker.IDENTIFICATION
    )
    assert (
        pooled_worker.advance(exchange, pooled_worker.ACCEPTED)
        == pooled_worker.START
    )
    assert exchange.result == pooled_worker.ACCEPTED
    assert worker.list_open() == [1]


def test_call_is_not_sent_when_the_process_ended_with_the_connection(worker):
    """Guards against a start that follows a lost connection elsewhere."""
    worker.open_idle(1)
    exchange = worker.begin(pooled_worker.START)
    pooled_worker.advance(exchange, pooled_worker.UNSENT)
    pooled_worker.advance(
        exchange, pooled_worker.make_lists(pooled_worker.NEXT)
    )
    assert exchange.result == calls.OtherProcess(pooled_worker.NEXT, 0)


def test_second_connection_that_ends_is_not_replaced(worker):
    """Guards against a loop with a worker that ends each connection."""
    worker.open_idle(1)
    exchange = worker.begin(pooled_worker.START)
    pooled_worker.advance(exchange, pooled_worker.UNSENT)
    pooled_worker.advance(
        exchange, pooled_worker.make_lists(pooled_worker.FORMER)
    )
    pooled_worker.advance(exchange, pooled_worker.UNSENT)
    assert exchange.result == pooled_worker.UNSENT
    assert worker.list_open() == []


def test_idle_connections_are_closed_after_a_silent_one(worker):
    """Guards against a timeout for each connection that may be dead.

    A connection that was opened after the silent call proves nothing about
    older ones, but stays itself.
    """
    worker.open_idle(4, 10.0)
    silent = worker.begin(pooled_worker.POLL, 20.0)
    assert silent.get_next_call() == pooled_worker.POLL
    others = [worker.begin(pooled_worker.STOP, 21.0) for _ in range(4)]
    for other in others:
        other.get_next_call()
    for other in others[:3]:
        pooled_worker.advance(other, pooled_worker.ACCEPTED, 19.0)
    lists = pooled_worker.make_lists(pooled_worker.FORMER)
    pooled_worker.advance(others[3], lists, 21.0)
    pooled_worker.advance(others[3], pooled_worker.ACCEPTED, 21.0)
    assert len(worker.list_open()) == 5
    pooled_worker.advance(silent, pooled_worker.SILENCE, 22.5, sent=20.0)
    assert worker.list_open() == [4]


def test_idle_connections_stay_if_a_later_call_was_answered(worker):
    """Guards against a start that waits for identification once more.

    The worker has left one call unanswered; a connection that was open at that
    time has answered a later one.
    """
    worker.open_idle(4, 10.0)
    silent = worker.begin(pooled_worker.POLL, 20.0)
    silent.get_next_call()
    later = worker.begin(pooled_worker.STOP, 21.0)
    pooled_worker.advance(later, pooled_worker.ACCEPTED, 21.0)
    pooled_worker.advance(silent, pooled_worker.SILENCE, 22.5, sent=20.0)
    assert worker.list_open() == [0, 1, 2]


def test_identification_answers_a_poll_without_effect(worker):
    """Guards against a second call that tells no more than the first."""
    poll = calls.PollCall(pooled_worker.FORMER, 5, 0, None, 0.5, 6)
    exchange = worker.begin(poll)
    lists = pooled_worker.make_lists(pooled_worker.FORMER, 1)
    pooled_worker.advance(exchange, lists)
    assert exchange.result == lists
    assert worker.list_open() == [0]


@pytest.mark.parametrize(
    ('answer', 'result'),
    [
        (
            pooled_worker.NO_BIRTH,
            calls.Unanswered(connection_pool.NO_BIRTH, replied=True),
        ),
        (
            pooled_worker.make_lists(pooled_worker.NEXT),
            pooled_worker.make_lists(pooled_worker.NEXT),
        ),
    ],
)
def test_bound_connection_is_closed_when_its_process_is_in_doubt(
    answer, result, worker
):
    """Guards against lists without runs that are taken for the process's."""
    worker.open_idle(1)
    exchange = worker.begin(pooled_worker.POLL)
    pooled_worker.advance(exchange, answer)
    assert exchange.result == result
    assert worker.list_open() == []


def test_idle_connections_are_closed_after_the_process_has_changed(worker):
    """Guards against descriptors that stay open for an ended process."""
    worker.open_idle(4)
    busy = [worker.begin(pooled_worker.START) for _ in range(4)]
    for exchange in busy:
        exchange.get_next_call()
    stop = worker.begin(pooled_worker.STOP)
    stop.get_next_call()
    for exchange in busy:
        pooled_worker.advance(exchange, pooled_worker.ACCEPTED)
    pooled_worker.advance(stop, pooled_worker.make_lists(pooled_worker.NEXT))
    assert worker.list_open() == [4]


def test_number_of_idle_connections_is_limited(worker):
    """Guards against descriptors that stay open after a burst of starts."""
    worker.open_idle(connection_pool.MAX_IDLE_CONNECTIONS + 3)
    assert len(worker.list_open()) == connection_pool.MAX_IDLE_CONNECTIONS
    # The connections that have answered last are kept.
    assert worker.list_open()[0] == 3


@pytest.mark.parametrize('is_bound', [True, False])
def test_abandoned_call_closes_its_connection(is_bound, worker):
    """Guards against an answer that is taken for that of another call."""
    exchange = worker.begin(pooled_worker.START)
    exchange.get_next_call()
    if is_bound:
        pooled_worker.advance(
            exchange, pooled_worker.make_lists(pooled_worker.FORMER)
        )
    exchange.abandon()
    assert worker.list_open() == []


def test_abandoned_call_with_a_result_leaves_its_connection_open(worker):
    """Guards against a new connection for each call."""
    exchange = worker.begin(pooled_worker.START)
    pooled_worker.advance(
        exchange, pooled_worker.make_lists(pooled_worker.FORMER)
    )
    pooled_worker.advance(exchange, pooled_worker.ACCEPTED)
    exchange.abandon()
    assert worker.list_open() == [0]


def test_call_that_was_not_begun_is_abandoned_without_a_connection(worker):
    """Guards against a connection that is opened only to be closed."""
    worker.begin(pooled_worker.START).abandon()
    assert worker.pool.opened == 0


def test_close_closes_all_connections_once_no_call_uses_them(worker):
    """Guards against descriptors that outlast the client."""
    worker.open_idle(3)
    exchange = worker.begin(pooled_worker.START)
    assert exchange.get_next_call() == pooled_worker.START
    worker.pool.close()
    assert worker.list_open() == [2]
    pooled_worker.advance(exchange, pooled_worker.ACCEPTED)
    assert worker.list_open() == []
