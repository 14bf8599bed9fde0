"""Makes calls to the store, directly or relayed by another entry."""

from __future__ import annotations

import collections
import dataclasses
import functools
import logging
from typing import TYPE_CHECKING

import msgspec

from damaskpin import decoding
from damaskpin import errors
from damaskpin import transport
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from damaskpin.runtime import hedging
from damaskpin.runtime import relay_peers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

LOG = logging.getLogger(__name__)

# HTTP statuses with which the store refuses calls of one instance; it may
# accept the same call from another instance.
REFUSAL_STATUSES = (429, 503)

# After a direct call to the store has failed, this process makes no direct
# call for this time, in seconds.
DIRECT_RETRY_S = 0.3

# The store counts as unreachable after this time without an answer, in
# seconds. Watches return at least once a second.
MAX_STORE_SILENCE_S = 1.6

# Seconds added to the timeout of a call that another entry relays.
relay_peers.EXTRA_TIMEOUT_S = 0.4

# Maximum number of entries that are tried as relays for one write, and for one
# read. Entries that can't reach the store themselves say so at once, so that a
# read passes many of them; a write may take effect late over each.
MAX_RELAYS = 2
MAX_READ_RELAYS = 8

_REQUEST_DECODER = msgspec.msgpack.Decoder(transport.HttpRequest)


# The way of a call that no peer relays.
DIRECT_WAY = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Answer to a call of the store.

    :ivar way: address of the peer that relayed the call, or ``DIRECT_WAY``.
    """

    way: str
    answer: transport.HttpAnswer


class RelayingCaller:
    """Calls the store directly, or through a peer if the direct call fails.

    A call without an answer may be repeated through a relay, so all calls
    must be idempotent.

    :param direct_caller: makes HTTP calls to the store from this instance.
    :param peers: entries that relay calls.
    :ivar on_return: called with the first direct answer after a silence of
        the direct way.
    :ivar counts: number of direct and of relayed calls.
    """

    __slots__ = (
        '_direct_blocked_until',
        '_direct_call_allowed',
        '_direct_caller',
        '_direct_hung',
        '_hung_direct_calls',
        '_last_answer_time',
        '_last_direct_answer_time',
        '_peers',
        'counts',
        'on_return',
    )

    def __init__(
        self,
        direct_caller: transport.ProgressCaller,
        peers: relay_peers.RelayPeers,
    ) -> None:
        self._direct_caller = direct_caller
        self._peers = peers
        self._last_answer_time = clocks.get_monotonic_time()
        self._last_direct_answer_time = self._last_answer_time
        self._direct_blocked_until = 0.0
        self._direct_call_allowed = False
        self._direct_hung = False
        self._hung_direct_calls = 0
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
        is_read = request.method == 'GET'
        ways = self._list_ways(MAX_READ_RELAYS if is_read else MAX_RELAYS)
        if not ways:
            raise errors.CallError('no entry to relay the call', False)
        try:
            if is_read:
                answered = await self._call_hedged(ways, request)
            else:
                answered = await self._call_in_turn(ways, request)
        except errors.CallRefusedError as error:
            return transport.HttpAnswer(error.status, b'')
        self._record_answer()
        if answered.way == DIRECT_WAY:
            self._record_direct_answer()
        return answered.answer

    async def serve_call(self, call: orders.StoreCall) -> orders.StoreAnswer:
        """Make a direct call to the store on behalf of another entry.

        While the direct way hangs, the caller is told at once to ask another
        entry.
        """
        is_blocked = clocks.get_monotonic_time() < self._direct_blocked_until
        if is_blocked or self._direct_hung:
            return orders.StoreAnswer(call.id, 0, False, b'')
        try:
            request = decoding.decode(_REQUEST_DECODER.decode, call.request)
            answered = await self._call_over(DIRECT_WAY, request)
        except errors.CallRefusedError as error:
            return orders.StoreAnswer(call.id, error.status, True, b'')
        except errors.CallError as error:
            return orders.StoreAnswer(call.id, 0, error.sent, b'')
        except errors.MalformedError as error:
            LOG.warning(
                'request to relay malformed', extra={'error': str(error)}
            )
            return orders.StoreAnswer(call.id, 0, False, b'')
        self._record_direct_answer()
        answer = answered.answer
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
        limit = patience + request.timeout + relay_peers.EXTRA_TIMEOUT_S
        answered = await hedging.call_first(
            self._iterate_reads(ways, request),
            patience,
            limit,
            functools.partial(self._direct_caller.has_progress, request),
        )
        if answered.way != DIRECT_WAY and DIRECT_WAY in ways:
            self._record_direct_failure('no answer before that of a peer')
        return answered

    def _iterate_reads(
        self, ways: list[str], request: transport.HttpRequest
    ) -> Iterator[list[Callable[[], Awaitable[Answered]]]]:
        """Yield the calls of a read over the given ways.

        Once a direct call has hung, it is made once more beside the next
        relayed call: its connection may be dead while new ones work.
        """
        hung_before = self._hung_direct_calls
        may_repeat = DIRECT_WAY in ways
        repeat = functools.partial(self._call_over, DIRECT_WAY, request)
        for way in ways:
            group = [functools.partial(self._call_over, way, request)]
            if may_repeat and self._hung_direct_calls > hung_before:
                may_repeat = False
                group.append(repeat)
            yield group
        if may_repeat and self._hung_direct_calls > hung_before:
            yield [repeat]

    def _list_ways(self, max_relays: int) -> list[str]:
        """Return the ways of a call, in the order in which to try them."""
        relays = self._peers.list_usable()[:max_relays]
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
                self.counts['relayed'] += 1
                answer = await self._peers.call(way, request)
            if answer.status in REFUSAL_STATUSES:
                raise errors.CallRefusedError(answer.status)
        except errors.CallError as error:
            if way == DIRECT_WAY:
                self._direct_hung = error.sent
                self._hung_direct_calls += error.sent
                self._record_direct_failure(str(error))
            else:
                self._peers.record_failure(way, str(error))
            raise
        if way != DIRECT_WAY:
            self._peers.record_success(way)
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

    def _record_direct_failure(self, reason: str) -> None:
        if not self._direct_blocked_until:
            LOG.warning(
                'direct call to the store failed', extra={'error': reason}
            )
        self._direct_blocked_until = (
            clocks.get_monotonic_time() + DIRECT_RETRY_S
        )
