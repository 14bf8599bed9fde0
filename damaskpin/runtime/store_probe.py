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

# Shortest time between two probes, in seconds. A probe that was sent before
# the store's return may hang, so that later ones are needed; and many refused
# requests do not each cost a call to the store.
PROBE_INTERVAL_S = 0.15


class StoreProbe:
    """Reads a key to find out whether the store answers again.

    The background loops of an entry call the store only now and then, so that
    after an outage the entry would refuse requests that the store can serve.
    A read has no effect, whereas a write without an answer leaves it unknown
    whether it took effect.

    :param store: client of the store, which calls it through the relay.
    :param relay: knows when the store answered last.
    """

    __slots__ = ('_probe_sent', '_relay', '_store', '_task')

    def __init__(
        self, store: interface.Store, relay: relays.RelayingCaller
    ) -> None:
        self._relay = relay
        self._store = store
        self._task: asyncio.Task[None] | None = None
        self._probe_sent = 0.0

    async def is_available(self, deadline: float) -> bool:
        """Return whether the store answers; ask it if that is in doubt.

        Concurrent requests share the probes.

        :param deadline: monotonic time in seconds until which to wait for the
            answer.
        """
        now = clocks.get_monotonic_time()
        end = min(max(deadline, now + MIN_WAIT_S), now + PROBE_TIMEOUT_S)
        while not self._relay.is_reachable():
            task = self._get_latest_probe()
            time_left = end - clocks.get_monotonic_time()
            if task.done() or time_left <= 0:
                return False
            wait = min(time_left, PROBE_INTERVAL_S)
            await asyncio.wait({task}, timeout=wait)
        return True

    def _get_latest_probe(self) -> asyncio.Task[None]:
        """Return the latest probe, or a new one if that is due."""
        now = clocks.get_monotonic_time()
        if self._task is None or now - self._probe_sent >= PROBE_INTERVAL_S:
            self._probe_sent = now
            self._task = asyncio.ensure_future(self._probe())
        return self._task

    async def _probe(self) -> None:
        self._relay.allow_direct_call()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.get(layout.LEADER_KEY)
        except (errors.StoreError, TimeoutError) as error:
            reason = str(error) or 'no answer in time'
            LOG.info('store still away', extra={'error': reason})
