"""Calls to the worker, each to the process that it is meant for."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

from damaskpin.agent import calls
from damaskpin.agent import connection_pool
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from collections.abc import Callable


# Starts, and stops, that are made at once; others wait. Each of them takes a
# connection, and many that are opened at the same moment time out.
MAX_CALLS = 8


class ConnectionClient(Protocol):
    """Makes calls over one connection to the worker beside the agent.

    Each call raises no error: its result tells a failure.
    """

    async def renew_lease(self, call: calls.PollCall) -> calls.Result:
        """Renew the worker's lease and list its running and ended runs."""

    async def start(self, call: calls.StartCall) -> calls.Result:
        """Start a run on the worker."""

    async def stop(self, call: calls.StopCall) -> calls.Result:
        """Stop a run on the worker."""

    def close(self) -> None:
        """Close the connection."""


class WorkerConnections:
    """Client of the worker whose calls reach only the process they name.

    :param connect: returns the client of a new connection to the worker.
    """

    __slots__ = ('_pool', '_start_slots', '_stop_slots')

    def __init__(self, connect: Callable[[], ConnectionClient]) -> None:
        self._pool = connection_pool.ConnectionPool(connect)
        self._start_slots = asyncio.Semaphore(MAX_CALLS)
        self._stop_slots = asyncio.Semaphore(MAX_CALLS)

    @property
    def opened(self) -> int:
        """Return the number of connections that were opened."""
        return self._pool.opened

    async def renew_lease(self, call: calls.PollCall) -> calls.Result:
        """Renew the worker's lease and list its running and ended runs."""
        return await self._perform(call)

    async def start(self, call: calls.StartCall) -> calls.Result:
        """Start a run on the worker."""
        async with self._start_slots:
            return await self._perform(call)

    async def stop(self, call: calls.StopCall) -> calls.Result:
        """Stop a run on the worker."""
        async with self._stop_slots:
            return await self._perform(call)

    def close(self) -> None:
        """Close all connections, those in use after their calls."""
        self._pool.close()

    async def _perform(self, call: calls.Call) -> calls.Result:
        exchange = self._pool.begin(clocks.get_monotonic_time(), call)
        try:
            while exchange.result is None:
                await self._advance(exchange)
        finally:
            exchange.abandon()
        return exchange.result

    async def _advance(self, exchange: connection_pool.Exchange) -> None:
        """Make the next call of an exchange."""
        sent = clocks.get_monotonic_time()
        client = exchange.connection.client
        result = await send(client, exchange.get_next_call())
        exchange.handle_result(clocks.get_monotonic_time(), sent, result)


async def send(client: ConnectionClient, call: calls.Call) -> calls.Result:
    """Make a call over the connection of a client."""
    match call:
        case calls.PollCall():
            return await client.renew_lease(call)
        case calls.StartCall():
            return await client.start(call)
        case calls.StopCall():
            return await client.stop(call)
