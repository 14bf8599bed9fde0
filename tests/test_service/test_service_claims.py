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


OWN_CLAIM, OTHER_CLAIM, OLD_CLAIM = (
    make_claim('m'),
    make_claim('o'),
    make_claim('x'),
)


class FakeStore:
    """Fake store with a single claim."""

    def __init__(self, content=None):
        self.content = content

    def apply(self, call):
        match call:
            case claims.CreateClaim() if self.content is None:
                self.content = call.claim
            case claims.ReplaceClaim() if self.content == call.before:
                self.content = call.after
        return claims.StoreAnswered(self.content)


def propose_claim(before=None):
    claim_writer = claims.ClaimWriter('q1', 'naamkunde', 'key')
    return claim_writer, claim_writer.propose(0.0, before, OWN_CLAIM)


def test_stored_claim_of_another_request_is_used():
    claim_writer, call = propose_claim()
    result = FakeStore(OTHER_CLAIM).apply(call)
    assert claim_writer.receive(0.0, call.step, result) == claims.ClaimStored(
        OTHER_CLAIM
    )


def test_claim_is_read_back_after_a_write_without_an_answer():
    claim_writer, call = propose_claim()
    store = FakeStore()
    store.apply(call)
    call = claim_writer.receive(0.0, call.step, claims.StoreResultUnknown())
    assert isinstance(call, claims.ReadClaim)
    result = claim_writer.receive(0.0, call.step, store.apply(call))
    assert result == claims.ClaimStored(OWN_CLAIM)


def test_lost_write_is_repeated_with_the_same_attempt():
    claim_writer, call = propose_claim()
    store = FakeStore()
    call = claim_writer.receive(0.0, call.step, claims.StoreResultUnknown())
    call = claim_writer.receive(0.0, call.step, store.apply(call))
    assert isinstance(call, claims.CreateClaim)
    assert call.claim == OWN_CLAIM
    result = claim_writer.receive(0.0, call.step, store.apply(call))
    assert result == claims.ClaimStored(OWN_CLAIM)


def test_claim_is_read_back_after_a_replacement_without_an_answer():
    claim_writer, call = propose_claim(before=OLD_CLAIM)
    store = FakeStore(OLD_CLAIM)
    assert isinstance(call, claims.ReplaceClaim)
    call = claim_writer.receive(0.0, call.step, claims.StoreResultUnknown())
    call = claim_writer.receive(0.0, call.step, store.apply(call))
    assert isinstance(call, claims.ReplaceClaim)
    store.apply(call)
    call = claim_writer.receive(0.0, call.step, claims.StoreResultUnknown())
    result = claim_writer.receive(0.0, call.step, store.apply(call))
    assert result == claims.ClaimStored(OWN_CLAIM)


def test_replacement_does_not_overwrite_that_of_another_entry():
    claim_writer, call = propose_claim(before=OLD_CLAIM)
    result = claim_writer.receive(
        0.0, call.step, FakeStore(OTHER_CLAIM).apply(call)
    )
    assert result == claims.ClaimStored(OTHER_CLAIM)


def test_unanswered_store_call_is_retried_a_limited_number_of_times():
    claim_writer, call = propose_claim()
    now, calls = 0.0, 0
    while not isinstance(call, claims.ClaimFailed):
        now += claims.STORE_TIMEOUT_S
        call = claim_writer.tick(now)
        calls += 1
    assert calls == claims.MAX_STORE_CALLS


def test_late_result_of_an_earlier_call_is_ignored():
    claim_writer, call = propose_claim()
    claim_writer.tick(claims.STORE_TIMEOUT_S)
    assert (
        claim_writer.receive(3.0, call.step, claims.StoreUnreachable()) is None
    )


def test_key_is_stored_only_as_a_digest():
    _, call = propose_claim()
    assert 'key' not in dataclasses.asdict(call).values()
    assert len(call.key) == 64


ISSUED_KEY = claims.IssuedKey(
    'naamkunde', 'shortlist', 'i1.x.1', 'a1', 'i1', 360.0
)


def test_issued_key_round_trip():
    assert (
        claims.parse_key(b's', claims.format_key(b's', ISSUED_KEY))
        == ISSUED_KEY
    )


@pytest.mark.parametrize('position', [6, 20, -1])
def test_altered_key_is_refused(position):
    text = list(claims.format_key(b's', ISSUED_KEY))
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
        claims.parse_key(b't', claims.format_key(b's', ISSUED_KEY))


def test_claim_is_unchanged_after_encoding_and_decoding():
    path = claims.format_path('naamkunde', 'ab')
    assert path == '/damaskpin/claims/naamkunde/ab'
    assert msgspec.json.decode(
        msgspec.json.encode(OWN_CLAIM), type=claims.Claim
    ) == (OWN_CLAIM)
