"""Tests of the removal of ended jobs from the store."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import errors
from damaskpin.coordinator import records
from damaskpin.entry import view as views
from damaskpin.model import work
from damaskpin.runtime import retention
from damaskpin.store import layout
from damaskpin.store import transactions

WALL_TIME = 10_000.0
RETENTION_S = 120.0
EXPIRED_END = WALL_TIME - RETENTION_S - retention.EXTRA_RETENTION_S - 1.0


class _Store:
    def __init__(self, result=None):
        self.commits = []
        self.result = result or transactions.Committed(9)

    async def commit(self, transaction):
        self.commits.append(transaction)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


def _make_view(state, ended, active=False, cancelled=False):
    view = views.JobView()
    terms = work.Terms('q', 's', 1, 1)
    step = work.Step(count=1, demand=work.Resources(1, 1, 0))
    submission = work.Submission('j', 'a', 'c', (step,), terms, 0.0)
    progress = records.Progress(state=state, ended=ended)
    if active:
        lifetime = work.Lifetime('w', 1)
        run = records.ActiveRun(0, 1, lifetime, 'agent')
        progress.occurrences[0] = [records.StepProgress(active=[run])]
    values_by_key = {
        layout.make_job_key('j'): records.encode_submission(submission),
        layout.make_progress_key('j'): records.encode_progress(progress),
    }
    if cancelled:
        values_by_key[layout.make_cancel_key('j')] = b'1'
    for key, value in values_by_key.items():
        view.apply(transactions.StoredItem(key, value, 5, 5), 0.0)
    return view


def _remove(view, store, fence=3):
    job_retention = retention.Retention(
        store, view, RETENTION_S, lambda: fence
    )
    return asyncio.run(job_retention.remove_expired(WALL_TIME))


def test_all_keys_of_ended_job_are_removed():
    """Guards against ended jobs that fill the store and entries' memory."""
    store = _Store()
    view = _make_view(work.JobState.CANCELED, EXPIRED_END, cancelled=True)
    assert _remove(view, store) == 1
    (commit,) = store.commits
    assert commit.expected == {
        layout.LEADER_KEY: 3,
        layout.make_progress_key('j'): 5,
    }
    assert set(commit.removals) == {
        layout.make_job_key('j'),
        layout.make_progress_key('j'),
        layout.make_cancel_key('j'),
    }


@pytest.mark.parametrize(
    ('state', 'ended', 'active'),
    [
        (work.JobState.COMPLETED, EXPIRED_END + 10.0, False),
        (work.JobState.RUNNING, 0.0, False),
        (work.JobState.CANCELED, EXPIRED_END, True),
    ],
)
def test_recent_or_active_job_is_not_removed(state, ended, active):
    """Guards against removing a job whose runs may still be on a worker.

    Its record is also needed to recognise late repeats of the submission.
    """
    store = _Store()
    assert _remove(_make_view(state, ended, active), store) == 0
    assert store.commits == []


def test_entry_that_does_not_coordinate_removes_nothing():
    """Guards against two entries that remove jobs at the same time."""
    store = _Store()
    view = _make_view(work.JobState.COMPLETED, EXPIRED_END)
    assert _remove(view, store, fence=0) == 0
    assert store.commits == []


def test_failed_removal_does_not_raise():
    """Guards against a store outage that ends the coordinator."""
    store = _Store(errors.StoreUnavailableError('away'))
    assert (
        _remove(_make_view(work.JobState.COMPLETED, EXPIRED_END), store) == 0
    )
