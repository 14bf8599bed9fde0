"""Tests of idempotency claims and issued keys."""

import dataclasses

import msgspec
import pytest

from damaskpin import errors
from damaskpin.service import claims


def make_claim(attempt):
    return claims.Claim(
        attempt=attempt,
        agent='a1',
        incarnation='i1',
        expires_uptime=60.0,
        digest='00',
    )


MINE, OTHER, OLD = make_claim('m'), make_claim('o'), make_claim('x')


class Store:
    """Carries out store calls; some answers are lost."""

    def __init__(self, content=None):
        self.content = content

    def apply(self, call):
        match call:
            case claims.WriteClaim() if self.content is None:
                self.content = call.claim
            case claims.MoveClaim() if self.content == call.before:
                self.content = call.after
        return claims.Holds(self.content)


def start(before=None):
    settler = claims.Settler('q1', 'naamkunde', 'key')
    return settler, settler.propose(0.0, before, MINE)


def test_claim_of_another_request_wins():
    settler, call = start()
    result = Store(OTHER).apply(call)
    assert settler.receive(0.0, call.step, result) == claims.Settled(OTHER)


def test_lost_answer_of_a_write_that_took_effect_is_read_back():
    settler, call = start()
    store = Store()
    store.apply(call)
    call = settler.receive(0.0, call.step, claims.Unknown())
    assert isinstance(call, claims.ReadClaim)
    result = settler.receive(0.0, call.step, store.apply(call))
    assert result == claims.Settled(MINE)


def test_lost_write_is_repeated_with_the_same_attempt():
    settler, call = start()
    store = Store()
    call = settler.receive(0.0, call.step, claims.Unknown())
    call = settler.receive(0.0, call.step, store.apply(call))
    assert isinstance(call, claims.WriteClaim)
    assert call.claim == MINE
    result = settler.receive(0.0, call.step, store.apply(call))
    assert result == claims.Settled(MINE)


def test_lost_move_is_settled_by_reading_back():
    settler, call = start(before=OLD)
    store = Store(OLD)
    assert isinstance(call, claims.MoveClaim)
    call = settler.receive(0.0, call.step, claims.Unknown())
    call = settler.receive(0.0, call.step, store.apply(call))
    assert isinstance(call, claims.MoveClaim)
    store.apply(call)
    call = settler.receive(0.0, call.step, claims.Unknown())
    result = settler.receive(0.0, call.step, store.apply(call))
    assert result == claims.Settled(MINE)


def test_move_does_not_replace_the_move_of_another_entry():
    settler, call = start(before=OLD)
    result = settler.receive(0.0, call.step, Store(OTHER).apply(call))
    assert result == claims.Settled(OTHER)


def test_silent_store_is_asked_again_and_given_up():
    settler, call = start()
    now, calls = 0.0, 0
    while not isinstance(call, claims.Failed):
        now += claims.STORE_TIMEOUT_S
        call = settler.tick(now)
        calls += 1
    assert calls == claims.MAX_STORE_CALLS


def test_late_result_of_an_earlier_call_is_ignored():
    settler, call = start()
    settler.tick(claims.STORE_TIMEOUT_S)
    assert settler.receive(3.0, call.step, claims.Refused()) is None


def test_key_is_stored_only_as_a_digest():
    _, call = start()
    assert 'key' not in dataclasses.asdict(call).values()
    assert len(call.key) == 64


KEY = claims.IssuedKey('naamkunde', 'shortlist', 'i1.x.1', 'a1', 'i1', 360.0)


def test_issued_key_round_trip():
    assert claims.parse_key(b's', claims.format_key(b's', KEY)) == KEY


@pytest.mark.parametrize('position', [6, 20, -1])
def test_altered_key_is_refused(position):
    text = list(claims.format_key(b's', KEY))
    text[position] = 'A' if text[position] != 'A' else 'B'
    with pytest.raises(errors.RequestError):
        claims.parse_key(b's', ''.join(text))


@pytest.mark.parametrize(
    'text', ['', 'dpk1_', 'dpk1_!!', 'x' * 5000, 'dpk1_' + 'A' * 2000]
)
def test_malformed_key_is_refused(text):
    with pytest.raises(errors.RequestError):
        claims.parse_key(b's', text)


def test_key_of_another_fleet_is_refused():
    with pytest.raises(errors.RequestError):
        claims.parse_key(b't', claims.format_key(b's', KEY))


def test_claim_survives_its_way_through_the_store():
    path = claims.format_path('naamkunde', 'ab')
    assert path == '/damaskpin/claims/naamkunde/ab'
    assert msgspec.json.decode(
        msgspec.json.encode(MINE), type=claims.Claim
    ) == (MINE)
