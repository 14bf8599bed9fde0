"""Tests of calls to the store that another entry relays."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
import pytest

from damaskpin import errors
from damaskpin import transport
from damaskpin.peer import orders
from damaskpin.runtime import relay
from damaskpin.runtime import relay_peers

REQUEST = transport.HttpRequest('GET', '/x', None, 0.2)


class FakeCaller:
    """Answers each call with a fixed status or raises an exception."""

    def __init__(self, result):
        self.result = result
        self.calls = 0

    def has_progress(self, _request):
        """Return that no part of an answer has arrived."""
        return False

    async def call(self, request):
        self.calls += 1
        if isinstance(self.result, Exception):
            raise self.result
        return transport.HttpAnswer(self.result, b'direct')


class FakeExchange:
    """Passes relayed calls to a function that plays the peer."""

    def __init__(self, answer):
        self.answer = answer

    def post(self, address, kind, build):
        self.answer(address, build())


def _make_caller(direct_caller, answer=None):
    peers = relay_peers.RelayPeers(lambda: ['peer'])
    caller = relay.RelayingCaller(direct_caller, peers)
    if answer is not None:
        exchange = FakeExchange(lambda peer, call: answer(peers, call))
        peers.set_exchange(exchange)
    return caller


def test_refused_entry_reaches_store_through_peer():
    """Guards against failing requests while the store refuses one entry."""

    def answer(caller, call):
        message = orders.StoreAnswer(call.id, 200, True, b'relayed')
        caller.handle_answer(message)

    caller = _make_caller(FakeCaller(503), answer)
    relayed_answer = asyncio.run(caller.call(REQUEST))
    assert relayed_answer.body == b'relayed'


def test_unsent_call_raises_error_marked_unsent():
    """Guards against an unsent call that is reported as maybe sent.

    Only after an unsent call may a client be told that its job was not
    accepted.
    """

    def answer(caller, call):
        caller.handle_answer(orders.StoreAnswer(call.id, 0, False, b''))

    direct_caller = FakeCaller(errors.CallError('refused', False))
    with pytest.raises(errors.CallError) as caught:
        asyncio.run(_make_caller(direct_caller, answer).call(REQUEST))
    assert not caught.value.sent


def test_peer_failure_fails_relayed_call_at_once():
    """Guards against waiting for a failed relay until the timeout."""

    async def call():
        relayed = asyncio.Event()
        peers = relay_peers.RelayPeers(lambda: ['peer'])
        peers.set_exchange(FakeExchange(lambda peer, call: relayed.set()))
        caller = relay.RelayingCaller(FakeCaller(503), peers)
        task = asyncio.ensure_future(caller.call(REQUEST))
        await asyncio.wait_for(relayed.wait(), 10.0)
        peers.handle_peer_failure('peer')
        # Steps of the event loop, as no timer of the call may be needed.
        for _ in range(10):
            await asyncio.sleep(0)
        assert task.done()
        with pytest.raises(errors.CallError) as caught:
            await task
        return caught.value

    assert asyncio.run(call()).sent


def test_direct_call_is_retried_after_a_pause():
    """Guards against relaying for ever, which costs a hop for each call."""

    async def call():
        direct_caller = FakeCaller(503)
        caller = _make_caller(direct_caller)
        await caller.call(REQUEST)
        direct_caller.result = 200
        await asyncio.sleep(relay.DIRECT_RETRY_S + 0.05)
        return await caller.call(REQUEST)

    assert asyncio.run(call()).status == 200


def test_one_direct_call_may_be_made_within_the_pause():
    """Guards against a probe that asks only peers, which pause as well."""

    async def call():
        direct_caller = FakeCaller(503)
        caller = _make_caller(direct_caller)
        await caller.call(REQUEST)
        direct_caller.result = 200
        caller.allow_direct_call()
        allowed = await caller.call(REQUEST)
        direct_caller.result = 503
        await caller.call(REQUEST)
        with pytest.raises(errors.CallError):
            await caller.call(REQUEST)
        return allowed.status, direct_caller.calls

    assert asyncio.run(call()) == (200, 3)


def test_direct_calls_resume_once_a_peer_finds_the_store_back(monkeypatch):
    """Guards against writes after an outage that go through a peer only.

    The peer may stop before it has relayed them.
    """
    monkeypatch.setattr(relay, 'MAX_STORE_SILENCE_S', 0.02)

    def answer(caller, call):
        caller.handle_answer(orders.StoreAnswer(call.id, 200, True, b''))

    async def call():
        direct_caller = FakeCaller(503)
        caller = _make_caller(direct_caller, answer)
        await asyncio.sleep(0.03)
        await caller.call(REQUEST)
        direct_caller.result = 200
        answered = await caller.call(REQUEST)
        return answered.body, direct_caller.calls

    assert asyncio.run(call()) == (b'direct', 2)


def test_direct_calls_pause_while_only_this_entry_is_refused():
    """Guards against a refused call for each relayed one: all are priced."""

    def answer(caller, call):
        caller.handle_answer(orders.StoreAnswer(call.id, 200, True, b''))

    async def call():
        direct_caller = FakeCaller(503)
        caller = _make_caller(direct_caller, answer)
        for _ in range(5):
            await caller.call(REQUEST)
        return direct_caller.calls

    assert asyncio.run(call()) == 1


def test_answer_for_a_former_process_does_not_complete_a_call():
    """Guards against the answer to another question after a restart.

    A peer may send it to the address after the process was started anew. A
    listing of another prefix would then move the revision past changes that
    were never seen.
    """

    def make_call_id():
        posted = []
        caller = _make_caller(
            FakeCaller(503), lambda caller, call: posted.append(call)
        )
        request = transport.HttpRequest('GET', '/x', None, 0.05)
        with contextlib.suppress(errors.CallError):
            asyncio.run(caller.call(request))
        return posted[0].id

    assert make_call_id() != make_call_id()


def test_peer_whose_own_way_hangs_does_not_hold_up_relayed_calls():
    """Guards against a relayed call that waits for the peer's timeout.

    The caller asks the next peer only then.
    """

    async def call():
        direct_caller = FakeCaller(errors.CallError('timed out', True))
        caller = _make_caller(direct_caller)
        with contextlib.suppress(errors.CallError):
            await caller.call(REQUEST)
        await asyncio.sleep(relay.DIRECT_RETRY_S)
        made = direct_caller.calls
        relayed = orders.StoreCall(7, msgspec.msgpack.encode(REQUEST))
        answer = await caller.serve_call(relayed)
        return answer, direct_caller.calls - made

    assert asyncio.run(call()) == (orders.StoreAnswer(7, 0, False, b''), 0)


def test_refused_relayed_calls_pause_the_direct_way():
    """Guards against a refused call of a peer for each call that it relays.

    Refused calls are priced, and many entries ask in an outage.
    """

    async def call():
        direct_caller = FakeCaller(503)
        caller = _make_caller(direct_caller)
        relayed = orders.StoreCall(7, msgspec.msgpack.encode(REQUEST))
        statuses = [(await caller.serve_call(relayed)).status for _ in 'abc']
        return statuses, direct_caller.calls

    assert asyncio.run(call()) == ([503, 0, 0], 1)
