"""Calls to the store, directly or through another entry."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import logging
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

# Statuses with which the store turns a machine away.
TURNED_AWAY = (429, 503)

# Time for which the direct way is left alone after it failed, in seconds.
DIRECT_PAUSE_S = 0.3

# The same for a relay that could not help, and for one that is silent.
RELAY_PAUSE_S = 0.5
SILENT_PAUSE_S = 3.0

# Watches return each second; a store that has not answered for this time is
# away, in seconds.
QUIET_S = 1.6

# Added to a call's timeout when another entry makes it.
RELAY_MARGIN_S = 0.4

# Entries that are asked to make one call.
MAX_RELAYS = 2

_DECODER = msgspec.msgpack.Decoder(transport.HttpRequest)


@dataclasses.dataclass(slots=True)
class Waiting:
    """A call that a peer makes for this process."""

    peer: str
    future: asyncio.Future[orders.StoreAnswer]


class RelayingCaller:
    """Calls the store; another entry does it while this one is turned away.

    A call that had no answer may be repeated through the relay, so calls
    must be safe to repeat.

    :param direct: makes calls from this machine.
    :param get_peers: returns the addresses of other entries.
    """

    __slots__ = (
        '_answered',
        '_blocked_peers',
        '_blocked_until',
        '_direct',
        '_exchange',
        '_get_peers',
        '_ids',
        '_waiting',
        'counts',
    )

    def __init__(
        self,
        direct: transport.Caller,
        get_peers: Callable[[], list[str]],
    ) -> None:
        self._direct = direct
        self._get_peers = get_peers
        self._exchange: exchanges.Exchange | None = None
        self._answered = clocks.get_steady()
        self._blocked_until = 0.0
        self._blocked_peers: dict[str, float] = {}
        self._ids = itertools.count(1)
        self._waiting: dict[int, Waiting] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def is_reachable(self) -> bool:
        """Return whether the store has answered lately, by any way."""
        return clocks.get_steady() - self._answered <= QUIET_S

    def set_exchange(self, exchange: exchanges.Exchange) -> None:
        """Use an exchange for relayed calls."""
        self._exchange = exchange

    async def call(
        self, request: transport.HttpRequest
    ) -> transport.HttpAnswer:
        """Make a call.

        :raises damaskpin.errors.CallError: no way led to an answer.
        """
        sent = False
        answer = None
        reason = 'no entry to relay the call'
        if clocks.get_steady() >= self._blocked_until:
            self.counts['direct'] += 1
            try:
                answer = await self._direct.call(request)
                if answer.status not in TURNED_AWAY:
                    self._answered = clocks.get_steady()
                    self._note_direct(True, '')
                    return answer
                reason = f'status {answer.status}'
            except errors.CallError as error:
                sent = error.sent
                reason = str(error)
            self._note_direct(False, reason)
        for peer in self._list_relays():
            try:
                relayed = await self._call_peer(peer, request)
            except errors.CallError as error:
                sent = sent or error.sent
                self._block_peer(peer, RELAY_PAUSE_S, str(error))
                continue
            if relayed.status not in TURNED_AWAY:
                self._answered = clocks.get_steady()
                return relayed
            self._block_peer(peer, RELAY_PAUSE_S, f'status {relayed.status}')
        if answer is not None and not sent:
            return answer
        raise errors.CallError(reason, sent)

    def handle_answer(self, answer: orders.StoreAnswer) -> None:
        """Take over the answer of a relayed call."""
        waiting = self._waiting.pop(answer.id, None)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_result(answer)

    def note_silent(self, peer: str) -> None:
        """Give up the calls that a silent peer was to make."""
        for number, waiting in list(self._waiting.items()):
            if waiting.peer != peer:
                continue
            del self._waiting[number]
            if not waiting.future.done():
                waiting.future.set_result(
                    orders.StoreAnswer(number, 0, True, b'')
                )
            self._block_peer(peer, SILENT_PAUSE_S, 'the peer is silent')

    async def serve(self, call: orders.StoreCall) -> orders.StoreAnswer:
        """Make a call for another entry, directly."""
        if clocks.get_steady() < self._blocked_until:
            return orders.StoreAnswer(call.id, 0, False, b'')
        try:
            request = _DECODER.decode(call.request)
            answer = await self._direct.call(request)
        except errors.CallError as error:
            return orders.StoreAnswer(call.id, 0, error.sent, b'')
        except msgspec.DecodeError as error:
            LOG.warning('relayed call malformed', extra={'error': str(error)})
            return orders.StoreAnswer(call.id, 0, False, b'')
        return orders.StoreAnswer(call.id, answer.status, True, answer.body)

    def _list_relays(self) -> list[str]:
        now = clocks.get_steady()
        usable = []
        for peer in self._get_peers():
            if self._blocked_peers.get(peer, 0.0) <= now:
                usable.append(peer)
        return usable[:MAX_RELAYS]

    def _block_peer(self, peer: str, pause: float, reason: str) -> None:
        LOG.info('relay failed', extra={'peer': peer, 'error': reason})
        until = clocks.get_steady() + pause
        known = self._blocked_peers.get(peer, 0.0)
        self._blocked_peers[peer] = max(known, until)

    def _note_direct(self, works: bool, reason: str) -> None:
        if works:
            if self._blocked_until:
                LOG.info('store reached directly again')
            self._blocked_until = 0.0
            return
        if not self._blocked_until:
            LOG.warning('store not reached directly', extra={'error': reason})
        self._blocked_until = clocks.get_steady() + DIRECT_PAUSE_S

    async def _call_peer(
        self, peer: str, request: transport.HttpRequest
    ) -> transport.HttpAnswer:
        if self._exchange is None:
            raise errors.CallError('no exchange', False)
        self.counts['relayed'] += 1
        number = next(self._ids)
        message = orders.StoreCall(number, msgspec.msgpack.encode(request))
        loop = asyncio.get_running_loop()
        future: asyncio.Future[orders.StoreAnswer] = loop.create_future()
        self._waiting[number] = Waiting(peer, future)
        self._exchange.post(peer, ('store', number), lambda: message)
        try:
            answer = await asyncio.wait_for(
                future, request.timeout + RELAY_MARGIN_S
            )
        except TimeoutError as error:
            raise errors.CallError('no answer of the relay', True) from error
        finally:
            self._waiting.pop(number, None)
        if not answer.status:
            raise errors.CallError('the relay got no answer', answer.sent)
        return transport.HttpAnswer(answer.status, answer.body)
