"""Pool of connections to a worker for tests, and calls and their results."""

from __future__ import annotations

from damaskpin.agent import calls
from damaskpin.agent import connection_pool
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
UNKNOWN = calls.Withheld(connection_pool.UNKNOWN_PROCESS)
NO_BIRTH = calls.Lists(3000, 0, (), ())


class Connection:
    """A connection that records whether it is closed."""

    def __init__(self):
        self.closed = False

    def close(self):
        """Close the connection, once."""
        assert not self.closed, 'the connection has been closed before'
        self.closed = True


class Worker:
    """Pool of connections to a worker, and those that it has opened."""

    def __init__(self):
        self.connections = []
        self.pool = connection_pool.ConnectionPool(self._connect)

    def begin(self, call, now=0.0):
        """Return the exchange of a call."""
        return self.pool.begin(now, call)

    def list_open(self):
        """Return the indexes of the open connections."""
        return [
            index
            for index, connection in enumerate(self.connections)
            if not connection.closed
        ]

    def open_idle(self, count, now=0.0):
        """Leave a number of connections to the former process idle."""
        exchanges = [self.begin(START, now) for _ in range(count)]
        for exchange in exchanges:
            advance(exchange, make_lists(FORMER), now)
        for exchange in exchanges:
            advance(exchange, ACCEPTED, now)

    def _connect(self):
        self.connections.append(Connection())
        return self.connections[-1]


def make_lists(process, running=0):
    row = work.RunningRun(RUN, '', 0.0)
    return calls.Lists(3000, process.born, (row,) * running, ())


def advance(exchange, result, now=0.0, sent=None):
    """Send the next call of an exchange and pass it the result."""
    call = exchange.get_next_call()
    exchange.handle_result(now, now if sent is None else sent, result)
    return call


def fail_identification(worker, now, result=NO_BIRTH):
    """Let a call meet a process that does not identify itself."""
    exchange = worker.begin(START, now)
    assert exchange.result is None, 'the pause has not ended'
    advance(exchange, result, now)
    return exchange.result
