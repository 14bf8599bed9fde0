"""Connections to a worker, each bound to the process that answers on it.

A worker may be replaced under its id and at its address by another process,
which has another capacity, another clock and none of its runs. A connection
ends with the process that accepted it, so the first call of each connection
reads which process is at the other end. That call starts nothing, acknowledges
nothing and grants no lease. Other calls are sent only on a connection that is
bound to the process that they are meant for.

This module does no I/O: an :class:`Exchange` tells which call to send next
and takes the result.
"""

from __future__ import annotations

import logging
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from damaskpin.agent import calls
from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = logging.getLogger(__name__)

# Reason of a call that was not sent because the process at the worker's
# address can't be told from another.
UNKNOWN_PROCESS = 'the process at the address does not identify itself'

# Reason of a poll whose answer does not tell the process.
NO_BIRTH = 'no birth in the answer'

# Pause in seconds after a process has not identified itself; it doubles with
# each such answer in a row up to the longest pause.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.6

# Least seconds between two log records on processes that do not identify
# themselves.
LOG_INTERVAL_S = 1.0

# Idle connections that are kept. One is taken by the poll that waits at the
# worker; more are opened for starts and stops of the same moment.
MAX_IDLE_CONNECTIONS = 8


class Client(Protocol):
    """Client that makes calls over one connection to the worker."""

    def close(self) -> None:
        """Close the connection."""


class PooledConnection:
    """A connection and the process that has answered on it.

    :ivar lifetime: process at the other end; ``None`` before its first answer.
    :ivar answered_at: time in seconds at which the latest answered call was
        sent.
    :ivar has_answered: whether a call has been answered, maybe by a refusal
        that does not tell the process.
    :ivar opened_at: time in seconds at which the first answered call was sent.
    """

    __slots__ = (
        'answered_at',
        'client',
        'has_answered',
        'lifetime',
        'opened_at',
    )

    def __init__(self, client: Client) -> None:
        self.client = client
        self.lifetime: work.Lifetime | None = None
        self.answered_at = 0.0
        self.opened_at = 0.0
        self.has_answered = False

    def record_answer(self, sent: float) -> None:
        """Record that a call has been answered.

        :param sent: time in seconds at which it was sent.
        """
        if not self.has_answered:
            self.opened_at = sent
        self.answered_at = sent
        self.has_answered = True


class ConnectionPool:
    """Connections of an agent to its worker.

    :param connect: returns the client of a new connection, which is opened by
        its first call.
    :ivar opened: number of connections that were opened.
    """

    __slots__ = (
        '_connect',
        '_idle',
        '_is_closed',
        '_last_logged_at',
        '_pause',
        '_paused_until',
        'opened',
    )

    def __init__(self, connect: Callable[[], Client]) -> None:
        self._connect = connect
        self._idle: list[PooledConnection] = []
        self._is_closed = False
        self._pause = 0.0
        self._paused_until = 0.0
        self._last_logged_at = -LOG_INTERVAL_S
        self.opened = 0

    def begin(self, now: float, call: calls.Call) -> Exchange:
        """Return the exchange that carries out a call."""
        exchange = Exchange(self, call)
        is_paused = now < self._paused_until
        if is_paused and not self._has_idle(call.lifetime):
            exchange.result = calls.Withheld(UNKNOWN_PROCESS)
        return exchange

    def take(self, lifetime: work.Lifetime) -> PooledConnection:
        """Return an idle connection to a process, or one that is not bound."""
        for process in (lifetime, None):
            for connection in reversed(self._idle):
                if connection.lifetime == process:
                    self._idle.remove(connection)
                    return connection
        self.opened += 1
        return PooledConnection(self._connect())

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection for a later call, unless this client is closed."""
        if self._is_closed:
            connection.client.close()
            return
        self._idle.append(connection)
        while len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).client.close()

    def discard_silent(self, sent: float) -> None:
        """Close the idle connections without an answer to a later call.

        When one connection goes silent, others that were open may be dead,
        too, and each of them would cost a timeout. None is closed if one that
        was open at that time has answered a later call: then the worker has
        left a single call unanswered.

        :param sent: time in seconds at which a call was sent that got no
            answer.
        """
        for connection in self._idle:
            if connection.opened_at <= sent <= connection.answered_at:
                return
        for connection in list(self._idle):
            if connection.answered_at < sent:
                self._idle.remove(connection)
                connection.client.close()

    def record_identity(self, process: work.Lifetime) -> None:
        """Record the process at the address; close connections to others."""
        self._pause = 0.0
        for connection in list(self._idle):
            if connection.lifetime != process:
                self._idle.remove(connection)
                connection.client.close()

    def record_no_identity(self, now: float, reason: str) -> None:
        """Pause after an answer that does not tell the process."""
        self._pause = min(max(2 * self._pause, FIRST_PAUSE_S), LONGEST_PAUSE_S)
        self._paused_until = now + self._pause
        if now - self._last_logged_at < LOG_INTERVAL_S:
            return
        self._last_logged_at = now
        LOG.warning(
            'worker does not identify itself; nothing is sent to it',
            extra={'reason': reason, 'pause': self._pause},
        )

    def close(self) -> None:
        """Close all idle connections, and others after their calls."""
        self._is_closed = True
        for connection in self._idle:
            connection.client.close()
        self._idle.clear()

    def _has_idle(self, lifetime: work.Lifetime) -> bool:
        return any(
            connection.lifetime == lifetime for connection in self._idle
        )


class Exchange:
    """Steps of one call: identification, where it is due, and the call.

    While ``result`` is ``None``, ``get_next_call`` returns the call to send
    on ``connection``, and ``handle_result`` takes its result.

    :ivar result: result of the call; ``None`` while there is a next step.
    """

    __slots__ = ('_call', '_connection', '_has_reopened', '_pool', 'result')

    def __init__(self, pool: ConnectionPool, call: calls.Call) -> None:
        self._pool = pool
        self._call = call
        self._connection: PooledConnection | None = None
        self._has_reopened = False
        self.result: calls.Result | None = None

    @property
    def connection(self) -> PooledConnection:
        """Return the connection of the next call."""
        if self._connection is None:
            self._connection = self._pool.take(self._call.lifetime)
        return self._connection

    def get_next_call(self) -> calls.Call:
        """Return the call to send next."""
        if self.connection.lifetime is None:
            return make_identification(self._call)
        return self._call

    def handle_result(
        self, now: float, sent: float, result: calls.Result
    ) -> None:
        """Handle the result of the call that was sent.

        :param sent: time in seconds at which it was sent.
        """
        if self.connection.lifetime is None:
            self._handle_identification(now, sent, result)
        else:
            self._handle_call_result(sent, result)

    def abandon(self) -> None:
        """Close the connection of a call whose result nobody waits for."""
        if self._connection is not None and self.result is None:
            self._drop_connection()

    def _handle_identification(
        self, now: float, sent: float, result: calls.Result
    ) -> None:
        expected = self._call.lifetime
        match result:
            case calls.Lists(born=0):
                self._fail_identification(now, NO_BIRTH)
            case calls.Lists(born=born):
                # A worker refuses calls for another id.
                process = work.Lifetime(expected.worker, born)
                self._bind_connection(sent, process)
                if process != expected:
                    self._pool.release(self.connection)
                    self.result = calls.OtherProcess(
                        process, len(result.running)
                    )
                elif is_without_effect(self._call):
                    self._pool.release(self.connection)
                    self.result = result
            case calls.Unanswered(replied=True):
                self._fail_identification(now, result.reason)
            case calls.Unanswered(sent=False) if self._may_reopen():
                self._reopen()
            case calls.Unanswered():
                self._drop_connection()
                self._pool.discard_silent(sent)
                self.result = msgspec.structs.replace(result, sent=False)
            case _:
                self.connection.record_answer(sent)
                self._pool.release(self.connection)
                self.result = result

    def _handle_call_result(self, sent: float, result: calls.Result) -> None:
        match result:
            case calls.Unanswered(sent=False) if self._may_reopen():
                self._reopen()
                return
            case calls.Unanswered():
                self._drop_connection()
                self._pool.discard_silent(sent)
            case calls.Lists(born=0):
                # libcurl takes an answer that ends within its header for one
                # with an empty body, which would list no runs.
                self._drop_connection()
                result = calls.Unanswered(NO_BIRTH, replied=True)
            case calls.Lists(born=born) if born != self._call.lifetime.born:
                LOG.error(
                    'a connection to the worker has changed its process',
                    extra={
                        'born': born,
                        'former_born': self._call.lifetime.born,
                    },
                )
                self._drop_connection()
            case _:
                self.connection.record_answer(sent)
                self._pool.release(self.connection)
        self.result = result

    def _bind_connection(self, sent: float, process: work.Lifetime) -> None:
        self.connection.lifetime = process
        self.connection.record_answer(sent)
        self._pool.record_identity(process)

    def _fail_identification(self, now: float, reason: str) -> None:
        self._drop_connection()
        self._pool.record_no_identity(now, reason)
        self.result = calls.Withheld(UNKNOWN_PROCESS)

    def _may_reopen(self) -> bool:
        """Return whether a kept connection has ended for the first time."""
        return self.connection.has_answered and not self._has_reopened

    def _reopen(self) -> None:
        """Go on with a new connection; the process may have ended as well."""
        self._has_reopened = True
        self._drop_connection()

    def _drop_connection(self) -> None:
        self.connection.client.close()
        self._connection = None


def is_without_effect(call: calls.Call) -> bool:
    """Return whether a call only reads, as an identification does."""
    match call:
        case calls.PollCall(observed=0, until=None):
            return True
    return False


def make_identification(call: calls.Call) -> calls.PollCall:
    """Return the call that reads which process is at a new connection."""
    return calls.PollCall(call.lifetime, call.fence, 0, None, 0.0, call.token)
