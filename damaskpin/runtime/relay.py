"""Makes calls to the store, directly or relayed by another entry."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools
import itertools
import logging
import secrets
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from damaskpin.runtime import hedging

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from damaskpin.peer import exchange as exchanges

LOG = logging.getLogger(__name__)

# HTTP statuses with which the store refuses calls of one instance; it may
# accept the same call from another instance.
REFUSAL_STATUSES = (429, 503)

# After a direct call to the store has failed, this process makes no direct
# call for this time, in seconds.
DIRECT_RETRY_S = 0.3

# Time for which an entry is not used as a relay after it failed to get an
# answer from the store, and after it did not answer itself, in seconds.
RELAY_RETRY_S = 0.5
SILENT_RELAY_RETRY_S = 3.0

# The store counts as unreachable after this time without an answer, in
# seconds. Watches return at least once a second.
MAX_STORE_SILENCE_S = 1.6

# Seconds added to the timeout of a call that another entry relays.
RELAY_EXTRA_TIMEOUT_S = 0.4

# Maximum number of entries that are tried as relays for one call.
MAX_RELAYS = 2

_REQUEST_DECODER = msgspec.msgpack.Decoder(transport.HttpRequest)


# Number of random bits of a process's first call id.
CALL_ID_BITS = 48

# The way of a call that no peer relays.
DIRECT_WAY = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Answer to a call of the store.

    :ivar way: address of the peer that relayed the call, or ``DIRECT_WAY``.
    """

    way: str
    answer: transport.HttpAnswer


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call to the store that a peer relays for this process."""

    peer: str
    future: asyncio.Future[orders.StoreAnswer]


class RelayingCaller:
    """Calls the store directly, or through a peer if the direct call fails.

    A call without an answer may be repeated through a relay, so all calls
    must be idempotent.

    :param direct_caller: makes HTTP calls to the store from this instance.
    :param get_peers: returns the addresses of other entries.
    :ivar on_return: called with the first direct answer after a silence of
        the direct way.
    :ivar counts: number of direct and of relayed calls.
    """

    __slots__ = (
        '_blocked_peers',
        '_call_ids',
        '_direct_blocked_until',
        '_direct_call_allowed',
        '_direct_caller',
        '_direct_hung',
        '_exchange',
        '_get_peers',
        '_last_answer_time',
        '_last_direct_answer_time',
        '_pending_calls',
        'counts',
        'on_return',
    )

    def __init__(
        self,
        direct_caller: transport.Caller,
        get_peers: Callable[[], list[str]],
    ) -> None:
        self._direct_caller = direct_caller
        self._get_peers = get_peers
        self._exchange: exchanges.Exchange | None = None
        self._last_answer_time = clocks.get_monotonic_time()
        self._last_direct_answer_time = self._last_answer_time
        self._direct_blocked_until = 0.0
        self._direct_call_allowed = False
        self._direct_hung = False
        self._blocked_peers: dict[str, float] = {}
        # A peer may answer the calls of a former process at this address, so
        # that the processes must not use the same ids.
        self._call_ids = itertools.count(secrets.randbits(CALL_ID_BITS))
        self._pending_calls: dict[int, PendingCall] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.on_return: Callable[[], None] = lambda: None

    def is_reachable(self) -> bool:
        """Return whether the store has answered a recent call."""
        return (
            clocks.get_monotonic_time() - self._last_answer_time
            <= MAX_STORE_SILENCE_S
        )

    def allow_direct_call(self) -> None:
        """Let the next call go to the store directly, without the pause."""
        self._direct_call_allowed = True

    def set_exchange(self, exchange: exchanges.Exchange) -> None:
        """Set the exchange that carries relayed calls to peers."""
        self._exchange = exchange

    async def call(
        self, request: transport.HttpRequest
    ) -> transport.HttpAnswer:
        """Call the store and return its answer.

        A read may be in progress over several ways at a time, so that a way
        that hangs does not hold it up. A write goes one way at a time, which
        keeps down the number of calls that take effect late.

        :raises damaskpin.errors.CallError: neither the direct call nor a
            relay got an answer.
        """
        ways = self._list_ways()
        if not ways:
            raise errors.CallError('no entry to relay the call', False)
        try:
            if request.method == 'GET':
                answered = await self._call_hedged(ways, request)
            else:
                answered = await self._call_in_turn(ways, request)
        except errors.CallRefusedError as error:
            return transport.HttpAnswer(error.status, b'')
        self._record_answer()
        if answered.way == DIRECT_WAY:
            self._record_direct_answer()
        return answered.answer

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
            self._block_peer(
                peer, SILENT_RELAY_RETRY_S, 'the peer did not answer'
            )

    async def serve_call(self, call: orders.StoreCall) -> orders.StoreAnswer:
        """Make a direct call to the store on behalf of another entry.

        While the direct way hangs, the caller is told at once to ask another
        entry.
        """
        is_blocked = clocks.get_monotonic_time() < self._direct_blocked_until
        if is_blocked or self._direct_hung:
            return orders.StoreAnswer(call.id, 0, False, b'')
        try:
            request = _REQUEST_DECODER.decode(call.request)
            answer = await self._direct_caller.call(request)
        except errors.CallError as error:
            return orders.StoreAnswer(call.id, 0, error.sent, b'')
        except msgspec.DecodeError as error:
            LOG.warning(
                'request to relay malformed', extra={'error': str(error)}
            )
            return orders.StoreAnswer(call.id, 0, False, b'')
        return orders.StoreAnswer(call.id, answer.status, True, answer.body)

    async def _call_in_turn(
        self, ways: list[str], request: transport.HttpRequest
    ) -> Answered:
        """Make a call over one way after the other until one answers."""
        failures = []
        for way in ways:
            try:
                return await self._call_over(way, request)
            except errors.CallError as error:
                failures.append(error)
        raise hedging.join_failures(failures)

    async def _call_hedged(
        self, ways: list[str], request: transport.HttpRequest
    ) -> Answered:
        """Make a read, over several ways at a time if one does not answer."""
        patience = request.patience or request.timeout
        limit = patience + request.timeout + RELAY_EXTRA_TIMEOUT_S
        answered = await hedging.call_first(
            self._iterate_reads(ways, request), patience, limit
        )
        if answered.way != DIRECT_WAY and DIRECT_WAY in ways:
            self._record_direct_failure('no answer before that of a peer')
        return answered

    def _iterate_reads(
        self, ways: list[str], request: transport.HttpRequest
    ) -> Iterator[Callable[[], Awaitable[Answered]]]:
        """Yield the calls of a read over the given ways.

        A direct call that hung is made once more: its connection may be dead
        while new ones work.
        """
        repeat = functools.partial(self._call_over, DIRECT_WAY, request)
        may_repeat = DIRECT_WAY in ways
        for position, way in enumerate(ways):
            if position > 1 and may_repeat and self._direct_hung:
                may_repeat = False
                yield repeat
            yield functools.partial(self._call_over, way, request)
        if may_repeat and self._direct_hung:
            yield repeat

    def _list_ways(self) -> list[str]:
        """Return the ways of a call, in the order in which to try them."""
        relays = self._list_relays()
        return [DIRECT_WAY, *relays] if self._may_call_directly() else relays

    async def _call_over(
        self, way: str, request: transport.HttpRequest
    ) -> Answered:
        """Make a call over one way.

        :raises damaskpin.errors.CallRefusedError: the store refused the call.
        :raises damaskpin.errors.CallError: no answer.
        """
        try:
            if way == DIRECT_WAY:
                self.counts['direct'] += 1
                answer = await self._direct_caller.call(request)
            else:
                answer = await self._call_peer(way, request)
            if answer.status in REFUSAL_STATUSES:
                raise errors.CallRefusedError(answer.status)
        except errors.CallError as error:
            if way == DIRECT_WAY:
                self._direct_hung = error.sent
                self._record_direct_failure(str(error))
            else:
                self._block_peer(way, RELAY_RETRY_S, str(error))
            raise
        self._blocked_peers.pop(way, None)
        return Answered(way, answer)

    def _record_answer(self) -> None:
        now = clocks.get_monotonic_time()
        was_reachable = self.is_reachable()
        silence = now - self._last_answer_time
        self._last_answer_time = now
        if was_reachable:
            return
        LOG.info(
            'store answers after a silence',
            extra={'seconds': round(silence, 3)},
        )
        # The store was away for all entries, so that direct calls are likely
        # to work again, too.
        self._direct_blocked_until = min(self._direct_blocked_until, now)

    def _record_direct_answer(self) -> None:
        """Allow direct calls; tell of the first answer after a silence.

        An answer through a peer proves nothing about the direct way, over
        which watches would hang again if they were sent anew.
        """
        if self._direct_blocked_until:
            LOG.info('direct calls to the store work again')
        self._direct_blocked_until = 0.0
        self._direct_hung = False
        now = clocks.get_monotonic_time()
        silence = now - self._last_direct_answer_time
        self._last_direct_answer_time = now
        if silence > MAX_STORE_SILENCE_S:
            self.on_return()

    def _may_call_directly(self) -> bool:
        is_allowed = self._direct_call_allowed
        self._direct_call_allowed = False
        return is_allowed or (
            clocks.get_monotonic_time() >= self._direct_blocked_until
        )

    def _list_relays(self) -> list[str]:
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
        return relays[:MAX_RELAYS]

    def _block_peer(self, peer: str, pause: float, reason: str) -> None:
        LOG.info(
            'relaying a store call failed',
            extra={'peer': peer, 'error': reason},
        )
        blocked_until = clocks.get_monotonic_time() + pause
        previous = self._blocked_peers.get(peer, 0.0)
        self._blocked_peers[peer] = max(previous, blocked_until)

    def _record_direct_failure(self, reason: str) -> None:
        if not self._direct_blocked_until:
            LOG.warning(
                'direct call to the store failed', extra={'error': reason}
            )
        self._direct_blocked_until = (
            clocks.get_monotonic_time() + DIRECT_RETRY_S
        )

    async def _call_peer(
        self, peer: str, request: transport.HttpRequest
    ) -> transport.HttpAnswer:
        if self._exchange is None:
            raise errors.CallError('no exchange', False)
        self.counts['relayed'] += 1
        call_id = next(self._call_ids)
        message = orders.StoreCall(call_id, msgspec.msgpack.encode(request))
        loop = asyncio.get_running_loop()
        future: asyncio.Future[orders.StoreAnswer] = loop.create_future()
        self._pending_calls[call_id] = PendingCall(peer, future)
        self._exchange.post(peer, ('store', call_id), lambda: message)
        try:
            answer = await asyncio.wait_for(
                future, request.timeout + RELAY_EXTRA_TIMEOUT_S
            )
        except TimeoutError as error:
            raise errors.CallError('no answer of the relay', True) from error
        finally:
            self._pending_calls.pop(call_id, None)
        if not answer.status:
            raise errors.CallError('the relay got no answer', answer.sent)
        return transport.HttpAnswer(answer.status, answer.body)
