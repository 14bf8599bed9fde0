"""Finds out for client requests whether an unreachable store is back."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import clocks
from damaskpin.store import layout

if TYPE_CHECKING:
    from damaskpin.runtime import relay as relays
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# Seconds that a probe waits for an answer. A slow store needs up to 0.3 s; a
# request waits this long before it is refused while the store is silent.
PROBE_TIMEOUT_S = 0.4

# Seconds for which a request waits for the answer to a probe even if its
# deadline has passed: deadlines have a margin for the client, and an answer
# from another region takes this long.
MIN_WAIT_S = 0.06

# Time after a probe without an answer for which its result holds, in seconds,
# so that many refused requests do not each cost a call to the store.
PROBE_INTERVAL_S = 0.1


class StoreProbe:
    """Reads a key to find out whether the store answers again.

    The background loops of an entry call the store only now and then, so that
    after an outage the entry would refuse requests that the store can serve.
    A read has no effect, whereas a write without an answer leaves it unknown
    whether it took effect.

    :param store: client of the store, which calls it through the relay.
    :param relay: knows when the store answered last.
    """

    __slots__ = ('_failed_until', '_probing', '_relay', '_store')

    def __init__(
        self, store: interface.Store, relay: relays.RelayingCaller
    ) -> None:
        self._relay = relay
        self._store = store
        self._probing: asyncio.Task[bool] | None = None
        self._failed_until = 0.0

    async def is_available(self, deadline: float) -> bool:
        """Return whether the store answers; ask it if that is in doubt.

        Concurrent requests share one probe.

        :param deadline: monotonic time in seconds until which to wait for the
            answer.
        """
        if self._relay.is_reachable():
            return True
        if clocks.get_monotonic_time() < self._failed_until:
            return False
        if self._probing is None or self._probing.done():
            self._probing = asyncio.ensure_future(self._probe())
        wait = deadline - clocks.get_monotonic_time()
        await asyncio.wait({self._probing}, timeout=max(wait, MIN_WAIT_S))
        return self._probing.done() and self._probing.result()

    async def _probe(self) -> bool:
        self._relay.allow_direct_call()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.get(layout.LEADER_KEY)
        except (errors.StoreError, TimeoutError) as error:
            reason = str(error) or 'no answer in time'
            LOG.info('store still away', extra={'error': reason})
            self._failed_until = clocks.get_monotonic_time() + PROBE_INTERVAL_S
            return False
        return True
