"""Tests of the admission limits."""

import random

import pytest

from damaskpin.model import config as configs
from damaskpin.service import limits as limiting
from damaskpin.service import requests


def make_request(account='naamkunde', body=b'', deadline=10.0):
    return requests.Request(
        id='q',
        account=account,
        service='shortlist',
        body=body,
        deadline_seconds=deadline,
    )


def test_burst_of_one_account_does_not_use_up_the_rate_of_another():
    limits = limiting.Limits(default_rate=10.0)
    results = [limits.admit(0.0, make_request(), 0, 8) for _ in range(30)]
    assert results.count(None) == 20
    assert limits.admit(0.0, make_request('zhondeu'), 0, 8) is None
    assert results[-1].retry_after >= 1.0
    assert limits.admit(0.15, make_request(), 0, 8) is None


def test_rate_comes_from_the_configuration():
    limits = limiting.Limits()
    account = configs.Account(
        name='naamkunde',
        token_sha256='0' * 64,
        quota=8,
        requests_per_second=2.0,
    )
    limits.set_config(configs.Config(accounts=[account]))
    results = [limits.admit(0.0, make_request(), 0, 8) for _ in range(10)]
    assert results.count(None) <= 4
    assert limits.admit(60.0, make_request(), 0, 8) is None


def test_deadline_that_cannot_be_met_is_refused_at_once():
    limits = limiting.Limits()
    limits.record_service_time('shortlist', 2.0)
    assert limits.admit(0.0, make_request(deadline=3.0), 8, 8) is None
    refusal = limits.admit(0.0, make_request(deadline=1.0), 8, 8)
    assert 'deadline' in refusal.reason
    assert refusal.retry_after == 2.0
    assert limits.admit(0.0, make_request(deadline=0.0), 0, 8) is not None


def test_waiting_requests_of_an_account_are_bounded():
    limits = limiting.Limits()
    limits.set_account('naamkunde', 100.0, max_queued=1)
    limits.add_queued('naamkunde')
    assert 'waiting' in limits.admit(0.0, make_request(), 1, 8).reason
    limits.remove_queued('naamkunde')
    assert limits.admit(0.0, make_request(), 0, 8) is None


def test_bodies_in_progress_are_bounded():
    limits = limiting.Limits(max_body_bytes=100)
    request = make_request(body=b'x' * 60)
    assert limits.admit(0.0, request, 0, 8) is None
    assert 'bodies' in limits.admit(0.0, request, 0, 8).reason
    limits.release_body(request)
    assert limits.admit(0.0, request, 0, 8) is None


def test_retry_budget_is_a_tenth_of_admitted_requests_plus_a_rate():
    limits = limiting.Limits(default_rate=1e6)
    while limits.take_retry_token(0.0):
        pass
    for _ in range(100):
        limits.admit(0.0, make_request(), 0, 8)
    granted = sum(limits.take_retry_token(0.0) for _ in range(100))
    assert granted == pytest.approx(10, abs=1)
    assert not limits.take_retry_token(0.0)
    assert limits.take_retry_token(2.1)


def test_back_off_grows_is_jittered_and_bounded():
    rng = random.Random(1)
    for tries in range(1, 100):
        delays = {limiting.compute_backoff(rng, tries) for _ in range(20)}
        assert len(delays) == 20
        assert max(delays) <= limiting.BACKOFF_MAX_S
    assert min(delays) >= limiting.BACKOFF_MAX_S / 2
