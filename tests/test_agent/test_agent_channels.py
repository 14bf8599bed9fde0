"""Tests of channels that are bound to one process of the worker."""

from __future__ import annotations

import logging

import pytest

from damaskpin.agent import calls
from damaskpin.agent import channels
from damaskpin.model import work
from damaskpin.peer import orders

FORMER = work.Lifetime('w1', 1000)
NEXT = work.Lifetime('w1', 2000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
POLL = calls.PollCall(FORMER, 5, 7, 9000, 0.5, 6)
ORDER = orders.StartOrder(RUN, 'content', '')
START = calls.StartCall(FORMER, 5, 9000, ORDER, 6)
STOP = calls.StopCall(FORMER, 5, RUN, 6)
IDENTIFICATION = calls.PollCall(FORMER, 5, 0, None, 0.0, 6)
ACCEPTED = calls.Accepted(3000)
SILENCE = calls.Unanswered('timeout')
UNSENT = calls.Unanswered('the connection has ended', sent=False)
MALFORMED = calls.Unanswered('not a number', replied=True)
UNKNOWN = calls.Withheld(channels.UNKNOWN_PROCESS)
NO_BIRTH = calls.Lists(3000, 0, (), ())


class _Connection:
    """A connection that records whether it is closed."""

    def __init__(self):
        self.closed = False

    def close(self):
        """Close the connection, once."""
        assert not self.closed, 'the connection has been closed before'
        self.closed = True


class _Worker:
    """Channels to a worker, and the connections that they have opened."""

    def __init__(self):
        self.connections = []
        self.channels = channels.Channels(self._connect)

    def begin(self, call, now=0.0):
        """Return the exchange of a call."""
        return self.channels.begin(now, call)

    def list_open(self):
        """Return the indexes of the open connections."""
        return [
            index
            for index, connection in enumerate(self.connections)
            if not connection.closed
        ]

    def open_idle(self, count, now=0.0):
        """Leave a number of channels to the former process idle."""
        exchanges = [self.begin(START, now) for _ in range(count)]
        for exchange in exchanges:
            _advance(exchange, _lists(FORMER), now)
        for exchange in exchanges:
            _advance(exchange, ACCEPTED, now)

    def _connect(self):
        self.connections.append(_Connection())
        return self.connections[-1]


@pytest.fixture
def worker():
    """Return a worker without open connections."""
    return _Worker()


def _lists(process, running=0):
    row = work.RunningRun(RUN, '', 0.0)
    return calls.Lists(3000, process.born, (row,) * running, ())


def _advance(exchange, result, now=0.0, sent=None):
    """Send the next call of an exchange and pass it the result."""
    call = exchange.get_next_call()
    exchange.handle_result(now, now if sent is None else sent, result)
    return call


def _fail_identification(worker, now, result=NO_BIRTH):
    """Let a call meet a process that does not identify itself."""
    exchange = worker.begin(START, now)
    assert exchange.result is None, 'the pause has not ended'
    _advance(exchange, result, now)
    return exchange.result


@pytest.mark.parametrize('call', [POLL, START, STOP])
def test_first_call_of_a_channel_has_no_effect(call, worker):
    """Guards against a start or a lease for a process that is not known."""
    exchange = worker.begin(call)
    assert _advance(exchange, _lists(FORMER)) == IDENTIFICATION
    assert exchange.result is None
    assert exchange.get_next_call() == call


def test_bound_channel_is_used_again_without_another_identification(worker):
    """Guards against two calls where one is enough."""
    worker.open_idle(1)
    exchange = worker.begin(STOP)
    assert _advance(exchange, ACCEPTED) == STOP
    assert exchange.result == ACCEPTED
    assert worker.channels.opened == 1


@pytest.mark.parametrize('call', [POLL, START, STOP])
def test_call_is_not_sent_to_another_process(call, worker):
    """Guards against a start that the next process carries out."""
    exchange = worker.begin(call)
    _advance(exchange, _lists(NEXT, running=2), 5.0)
    assert exchange.result == calls.OtherProcess(NEXT, 2)
    # The channel has answered, and serves calls for its own process.
    worker.channels.discard_silent(4.0)
    next_poll = calls.PollCall(NEXT, 5, 0, None, 0.5, 7)
    assert worker.begin(next_poll).get_next_call() == next_poll
    assert worker.list_open() == [0]


def test_call_for_the_former_process_takes_no_channel_to_the_next(worker):
    """Guards against a start that leaves on a channel to another process."""
    _advance(worker.begin(START), _lists(NEXT))
    exchange = worker.begin(START)
    assert exchange.get_next_call() == IDENTIFICATION
    assert worker.channels.opened == 2


@pytest.mark.parametrize('answer', [NO_BIRTH, MALFORMED])
def test_process_without_a_birth_gets_no_further_call(answer, worker):
    """Guards against a start for a process that can't be told from another.

    A birth of another type counts as malformed.
    """
    assert _fail_identification(worker, 0.0, answer) == UNKNOWN
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
    exchange = worker.begin(START)
    _advance(exchange, refusal)
    assert exchange.result == refusal
    # The next call identifies the process on the same connection.
    assert worker.list_open() == [0]
    assert _advance(worker.begin(START), _lists(FORMER)) == IDENTIFICATION
    assert worker.channels.opened == 1


def test_refused_identification_on_a_connection_that_has_ended(worker):
    """Guards against a call that fails as a kept connection has ended."""
    _advance(worker.begin(START), calls.Refused('status 503'))
    exchange = worker.begin(START)
    assert _advance(exchange, UNSENT) == IDENTIFICATION
    assert exchange.result is None
    assert _advance(exchange, UNSENT) == IDENTIFICATION
    assert exchange.result == UNSENT
    assert worker.list_open() == []


@pytest.mark.parametrize('refused', [True, False])
def test_call_after_an_unanswered_identification_counts_as_unsent(
    refused, worker
):
    """Guards against a start that blocks its run although it never left.

    A refused connection is told, as it proves a departure.
    """
    exchange = worker.begin(START)
    _advance(exchange, calls.Unanswered('reason', refused=refused))
    assert exchange.result == calls.Unanswered('reason', False, refused)
    assert worker.list_open() == []


@pytest.mark.parametrize('result', [SILENCE, MALFORMED])
def test_call_without_a_readable_answer_counts_as_sent(result, worker):
    """Guards against a run that executes twice."""
    worker.open_idle(1)
    exchange = worker.begin(START)
    _advance(exchange, result)
    assert exchange.result == result
    assert exchange.result.sent
    assert worker.list_open() == []


def test_call_on_a_channel_that_had_ended_is_sent_after_identification(worker):
    """Guards against a start that fails when the server ends a connection."""
    worker.open_idle(1)
    exchange = worker.begin(START)
    assert _advance(exchange, UNSENT) == START
    assert exchange.result is None
    assert _advance(exchange, _lists(FORMER)) == IDENTIFICATION
    assert _advance(exchange, ACCEPTED) == START
    assert exchange.result == ACCEPTED
    assert worker.list_open() == [1]


def test_call_is_not_sent_when_the_process_ended_with_the_channel(worker):
    """Guards against a start that follows a lost connection elsewhere."""
    worker.open_idle(1)
    exchange = worker.begin(START)
    _advance(exchange, UNSENT)
    _advance(exchange, _lists(NEXT))
    assert exchange.result == calls.OtherProcess(NEXT, 0)


def test_second_channel_that_ends_is_not_replaced(worker):
    """Guards against a loop with a worker that ends each connection."""
    worker.open_idle(1)
    exchange = worker.begin(START)
    _advance(exchange, UNSENT)
    _advance(exchange, _lists(FORMER))
    _advance(exchange, UNSENT)
    assert exchange.result == UNSENT
    assert worker.list_open() == []


@pytest.mark.parametrize('idle', [0, 3])
def test_idle_channels_are_closed_after_a_silent_one(idle, worker):
    """Guards against a timeout for each connection that may be dead.

    Those that have answered a later call are alive. The silent one is bound
    if there are idle ones, or else new.
    """
    worker.open_idle(idle, 10.0)
    silent, other = worker.begin(POLL, 20.0), worker.begin(STOP, 21.0)
    assert (silent.get_next_call() == POLL) is (idle > 0)
    if not idle:
        _advance(other, _lists(FORMER), 21.0)
        worker.open_idle(3, 10.0)
    _advance(other, ACCEPTED, 21.0)
    assert len(worker.list_open()) > 2
    _advance(silent, SILENCE, 22.5, sent=20.0)
    assert [worker.connections[i] for i in worker.list_open()] == [
        worker.begin(STOP, 23.0).channel.connection
    ]


@pytest.mark.parametrize(
    ('answer', 'result'),
    [
        (NO_BIRTH, calls.Unanswered(channels.NO_BIRTH, replied=True)),
        (_lists(NEXT), _lists(NEXT)),
    ],
)
def test_bound_channel_is_closed_when_its_process_is_in_doubt(
    answer, result, worker
):
    """Guards against lists without runs that are taken for the process's."""
    worker.open_idle(1)
    exchange = worker.begin(POLL)
    _advance(exchange, answer)
    assert exchange.result == result
    assert worker.list_open() == []


def test_idle_channels_are_closed_after_the_process_has_changed(worker):
    """Guards against descriptors that stay open for an ended process."""
    worker.open_idle(4)
    busy = [worker.begin(START) for _ in range(4)]
    for exchange in busy:
        exchange.get_next_call()
    stop = worker.begin(STOP)
    stop.get_next_call()
    for exchange in busy:
        _advance(exchange, ACCEPTED)
    _advance(stop, _lists(NEXT))
    assert worker.list_open() == [4]


def test_number_of_idle_channels_is_limited(worker):
    """Guards against descriptors that stay open after a burst of starts."""
    worker.open_idle(channels.MAX_IDLE_CHANNELS + 3)
    assert len(worker.list_open()) == channels.MAX_IDLE_CHANNELS
    # The channels that have answered last are kept.
    assert worker.list_open()[0] == 3


def test_pause_grows_while_a_process_does_not_identify_itself(worker):
    """Guards against calls in quick succession to an unknown process."""
    now = 0.0
    for pause in [0.1, 0.2, 0.4, 0.8, 1.6, 1.6, 1.6]:
        _fail_identification(worker, now)
        assert worker.begin(START, now + pause - 0.01).result == UNKNOWN
        now += pause + 0.001
    assert worker.channels.opened == 7


def test_pause_is_short_again_after_a_process_has_identified_itself(worker):
    """Guards against a long pause for a single bad answer later."""
    for now in [0.0, 1.0, 2.0]:
        _fail_identification(worker, now)
    _advance(worker.begin(START, 3.0), _lists(FORMER), 3.0)
    _fail_identification(worker, 4.0)
    assert worker.begin(START, 4.05).result is not None
    assert worker.begin(START, 4.11).result is None


def test_at_most_one_record_a_second_is_logged(worker, caplog):
    """Guards against a log that fills up, and against one without a trace."""
    caplog.set_level(logging.WARNING, channels.LOG.name)
    for index in range(100):
        worker.channels.record_no_identity(index * 0.05, 'no birth')
    assert 4 <= len(caplog.records) <= 6
    assert {record.reason for record in caplog.records} == {'no birth'}


@pytest.mark.parametrize('is_bound', [True, False])
def test_abandoned_call_closes_its_channel(is_bound, worker):
    """Guards against a channel whose next answer is that of another call."""
    exchange = worker.begin(START)
    exchange.get_next_call()
    if is_bound:
        _advance(exchange, _lists(FORMER))
    exchange.abandon()
    assert worker.list_open() == []


def test_abandoned_call_with_a_result_leaves_its_channel_open(worker):
    """Guards against a new connection for each call."""
    exchange = worker.begin(START)
    _advance(exchange, _lists(FORMER))
    _advance(exchange, ACCEPTED)
    exchange.abandon()
    assert worker.list_open() == [0]


def test_call_that_was_not_begun_is_abandoned_without_a_channel(worker):
    """Guards against a connection that is opened only to be closed."""
    worker.begin(START).abandon()
    assert worker.channels.opened == 0


def test_close_closes_all_channels_once_no_call_uses_them(worker):
    """Guards against descriptors that outlast the client."""
    worker.open_idle(3)
    exchange = worker.begin(START)
    assert exchange.get_next_call() == START
    worker.channels.close()
    assert worker.list_open() == [2]
    _advance(exchange, ACCEPTED)
    assert worker.list_open() == []
