"""Tests of truthful answers about jobs while the store misbehaves."""

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

JOB = work.Submission(
    'a' * 16,
    'account',
    'content',
    (work.Step(count=1, demand=work.Resources(1, 1, 0)),),
    work.Terms('q', 's', 1, 2),
    5.0,
)


class FakeStore:
    """Plays a list of results, one for each call."""

    def __init__(self, *results):
        self.results = list(results)
        self.transactions = []

    async def commit(self, transaction):
        self.transactions.append(transaction)
        return self._play()

    async def get(self, key):
        return self._play()

    def _play(self):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def _make(store, view, reachable=True):
    return requests.Requests(store, view, lambda: reachable)


def _submit(store, view=None):
    found = requests.Requests(store, view or views.View(), lambda: True)
    deadline = clocks.get_monotonic_time() + 2.0
    return asyncio.run(found.submit(JOB, deadline)), found


def _make_item(submission):
    value = records.encode_submission(submission)
    key = layout.make_job_key(submission.id)
    return transactions.StoredItem(key, value, 7, 7)


def test_lost_answer_is_settled_by_the_same_write():
    """A write without an answer may be in; it must not run twice."""
    key = layout.make_job_key(JOB.id)
    store = FakeStore(
        errors.StoreUnknownError('lost'),
        transactions.Conflict({key: _make_item(JOB)}),
    )
    outcome, _ = _submit(store)
    assert outcome == outcomes.Accepted()
    assert store.transactions[0] == store.transactions[1]


def test_refusal_tells_when_nothing_was_sent():
    """Only then is it true that the job never runs."""
    outcome, _ = _submit(FakeStore(errors.StoreUnavailableError('busy')))
    assert isinstance(outcome, outcomes.Unavailable)


def test_undecided_write_is_never_called_refused():
    """A refusal after a write that may be carried out late would be false."""
    store = FakeStore(
        errors.StoreUnknownError('lost'),
        errors.StoreUnavailableError('busy'),
        errors.StoreUnavailableError('busy'),
        errors.StoreUnavailableError('busy'),
    )
    outcome, found = _submit(store)
    assert isinstance(outcome, outcomes.Undecided)
    deadline = clocks.get_monotonic_time() + 2.0
    again = asyncio.run(found.submit(JOB, deadline))
    assert isinstance(again, outcomes.Undecided)


def test_absence_is_told_only_after_a_read():
    """A view that lags must not deny an accepted job."""
    view = views.View()
    store = FakeStore(_make_item(JOB), None)
    found = _make(store, view)
    outcome = asyncio.run(found.get_state(JOB.id, 'account'))
    assert outcome == outcomes.Shown(work.JobState.QUEUED)
    away = FakeStore(errors.StoreUnknownError('lost'))
    outcome = asyncio.run(_make(away, view).get_state(JOB.id, 'a'))
    assert isinstance(outcome, outcomes.Unavailable)
    none = _make(FakeStore(None), view)
    assert asyncio.run(none.get_state(JOB.id, 'a')) == outcomes.Unknown()


def test_job_of_another_account_is_not_shown():
    """Accounts must not see each other's jobs."""
    view = views.View()
    view.apply(_make_item(JOB))
    found = _make(FakeStore(), view)
    outcome = asyncio.run(found.get_state(JOB.id, 'other'))
    assert outcome == outcomes.Unknown()


def test_store_that_is_away_gets_no_writes():
    """A write into an outage leaves the caller with an open outcome."""
    store = FakeStore()
    found = _make(store, views.View(), reachable=False)
    outcome = asyncio.run(found.submit(JOB, clocks.get_monotonic_time() + 2.0))
    assert isinstance(outcome, outcomes.Unavailable)
    assert store.transactions == []
