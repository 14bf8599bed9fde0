"""Tests of correct answers to job requests while the store fails."""

from __future__ import annotations

import asyncio

from damaskpin import errors
from damaskpin.coordinator import records
from damaskpin.entry import outcomes
from damaskpin.entry import view as views
from damaskpin.model import work
from damaskpin.runtime import clocks
from damaskpin.runtime import requests
from damaskpin.store import layout
from damaskpin.store import transactions
from tests.test_runtime import outages

JOB = outages.JOB


class FakeStore:
    """Returns or raises prepared results, one for each call."""

    def __init__(self, *results):
        self.results = list(results)
        self.transactions = []

    async def commit(self, transaction):
        self.transactions.append(transaction)
        return self._next_result()

    async def get(self, key):
        return self._next_result()

    def _next_result(self):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class FakeProbe:
    """Tells whether the store answers, without asking it."""

    def __init__(self, available=True):
        self.available = available

    async def is_available(self, deadline):
        return self.available


def _make_requests(store, view, reachable=True):
    return requests.Requests(store, view, FakeProbe(reachable))


def _submit(store, view=None):
    handler = _make_requests(store, view or views.JobView())
    deadline = clocks.get_monotonic_time() + 2.0
    return asyncio.run(handler.submit(JOB, deadline)), handler


def _get_deadline():
    return clocks.get_monotonic_time() + 2.0


def _make_item(submission):
    value = records.encode_submission(submission)
    key = layout.make_job_key(submission.id)
    return transactions.StoredItem(key, value, 7, 7)


def test_write_with_lost_answer_is_repeated_unchanged():
    """Guards against storing a job twice after a lost answer.

    The first write may have taken effect, so the same one is repeated and its
    conflict shows the stored job.
    """
    key = layout.make_job_key(JOB.id)
    store = FakeStore(
        errors.StoreUncertainError('lost'),
        transactions.Conflict({key: _make_item(JOB)}),
    )
    outcome, _ = _submit(store)
    assert outcome == outcomes.Accepted()
    assert store.transactions[0] == store.transactions[1]


def test_unsent_write_is_reported_as_unavailable():
    """Guards against telling a client that an unsent job may be stored."""
    outcome, _ = _submit(FakeStore(errors.StoreUnavailableError('busy')))
    assert isinstance(outcome, outcomes.Unavailable)


def test_write_with_unknown_result_is_never_reported_unavailable():
    """Guards against denying a job that a delayed write may still store."""
    busy = [errors.StoreUnavailableError('busy')] * 20
    store = FakeStore(errors.StoreUncertainError('lost'), *busy)
    outcome, handler = _submit(store)
    assert isinstance(outcome, outcomes.Undecided)
    deadline = clocks.get_monotonic_time() + 2.0
    repeated_outcome = asyncio.run(handler.submit(JOB, deadline))
    assert isinstance(repeated_outcome, outcomes.Undecided)


def test_job_is_reported_unknown_only_after_store_read():
    """Guards against denying an accepted job that a stale view lacks."""
    view = views.JobView()
    store = FakeStore(_make_item(JOB), None)
    handler = _make_requests(store, view)
    outcome = asyncio.run(
        handler.get_state(JOB.id, 'account', _get_deadline())
    )
    assert outcome == outcomes.JobFound(work.JobState.QUEUED)
    failing_store = FakeStore(errors.StoreUncertainError('lost'))
    outcome = asyncio.run(
        _make_requests(failing_store, view).get_state(
            JOB.id, 'a', _get_deadline()
        )
    )
    assert isinstance(outcome, outcomes.Unavailable)
    handler_without_job = _make_requests(FakeStore(None), view)
    assert (
        asyncio.run(
            handler_without_job.get_state(JOB.id, 'a', _get_deadline())
        )
        == outcomes.JobNotFound()
    )


def test_job_of_another_account_is_not_shown():
    """Guards against a client account that sees another account's job."""
    view = views.JobView()
    view.apply(_make_item(JOB), 0.0)
    handler = _make_requests(FakeStore(), view)
    outcome = asyncio.run(handler.get_state(JOB.id, 'other', _get_deadline()))
    assert outcome == outcomes.JobNotFound()


def test_unreachable_store_gets_no_writes():
    """Guards against writes in an outage, which leave the result unknown."""
    store = FakeStore()
    handler = _make_requests(store, views.JobView(), reachable=False)
    outcome = asyncio.run(
        handler.submit(JOB, clocks.get_monotonic_time() + 2.0)
    )
    assert isinstance(outcome, outcomes.Unavailable)
    assert store.transactions == []
