"""Entries that relay this entry's calls to the store."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
import secrets
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.peer import orders
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.peer import exchange as exchanges

LOG = logging.getLogger(__name__)

# Time for which an entry is not used as a relay after it failed to get an
# answer from the store, and after it did not answer itself, in seconds.
RETRY_S = 0.5
SILENT_RETRY_S = 3.0

# Seconds added to the timeout of a call that another entry relays.
EXTRA_TIMEOUT_S = 0.4

# Number of random bits of a process's first call id.
CALL_ID_BITS = 48


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call to the store that a peer relays for this process."""

    peer: str
    future: asyncio.Future[orders.StoreAnswer]


class RelayPeers:
    """Makes calls to the store through other entries.

    :param get_peers: returns the addresses of other entries.
    """

    __slots__ = (
        '_blocked_peers',
        '_call_ids',
        '_exchange',
        '_get_peers',
        '_pending_calls',
    )

    def __init__(self, get_peers: Callable[[], list[str]]) -> None:
        self._get_peers = get_peers
        self._exchange: exchanges.Exchange | None = None
        self._blocked_peers: dict[str, float] = {}
        # A peer may answer the calls of a former process at this address, so
        # that the processes must not use the same ids.
        self._call_ids = itertools.count(secrets.randbits(CALL_ID_BITS))
        self._pending_calls: dict[int, PendingCall] = {}

    def set_exchange(self, exchange: exchanges.Exchange) -> None:
        """Set the exchange that carries relayed calls to peers."""
        self._exchange = exchange

    def list_usable(self) -> list[str]:
        """Return the peers to try, those that failed longest ago first.

        In a fixed order, peers whose pause is over would be tried again and
        again before the others.
        """
        now = clocks.get_monotonic_time()
        relays = []
        for peer in self._get_peers():
            if self._blocked_peers.get(peer, 0.0) <= now:
                relays.append(peer)
        relays.sort(key=lambda peer: self._blocked_peers.get(peer, 0.0))
        return relays

    async def call(
        self, peer: str, request: transport.HttpRequest
    ) -> transport.HttpAnswer:
        """Make a call to the store through a peer.

        :raises damaskpin.errors.CallError: no answer of the peer or the store.
        """
        if self._exchange is None:
            raise errors.CallError('no exchange', False)
        call_id = next(self._call_ids)
        # How far an answer has come can't be seen from here, so that a peer
        # gets no more time for one that has begun.
        request = msgspec.structs.replace(request, transfer=0.0)
        message = orders.StoreCall(call_id, msgspec.msgpack.encode(request))
        loop = asyncio.get_running_loop()
        future: asyncio.Future[orders.StoreAnswer] = loop.create_future()
        self._pending_calls[call_id] = PendingCall(peer, future)
        self._exchange.post(peer, ('store', call_id), lambda: message)
        try:
            answer = await asyncio.wait_for(
                future, request.timeout + EXTRA_TIMEOUT_S
            )
        except TimeoutError as error:
            raise errors.CallError('no answer of the relay', True) from error
        finally:
            self._pending_calls.pop(call_id, None)
        if not answer.status:
            raise errors.CallError('the relay got no answer', answer.sent)
        return transport.HttpAnswer(answer.status, answer.body)

    def record_success(self, peer: str) -> None:
        """Record that a peer has relayed a call."""
        self._blocked_peers.pop(peer, None)

    def record_failure(self, peer: str, reason: str) -> None:
        """Record that a peer could not relay a call."""
        self._block(peer, RETRY_S, reason)

    def handle_answer(self, answer: orders.StoreAnswer) -> None:
        """Complete a relayed call with the answer that a peer sent."""
        pending = self._pending_calls.pop(answer.id, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(answer)

    def handle_peer_failure(self, peer: str) -> None:
        """Fail all calls that a peer without an answer was to relay."""
        for call_id, pending in list(self._pending_calls.items()):
            if pending.peer != peer:
                continue
            del self._pending_calls[call_id]
            if not pending.future.done():
                pending.future.set_result(
                    orders.StoreAnswer(call_id, 0, True, b'')
                )
            self._block(peer, SILENT_RETRY_S, 'the peer did not answer')

    def _block(self, peer: str, pause: float, reason: str) -> None:
        LOG.info(
            'relaying a store call failed',
            extra={'peer': peer, 'error': reason},
        )
        blocked_until = clocks.get_monotonic_time() + pause
        previous = self._blocked_peers.get(peer, 0.0)
        self._blocked_peers[peer] = max(previous, blocked_until)
