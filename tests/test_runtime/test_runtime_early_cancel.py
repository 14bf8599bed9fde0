"""Tests of cancellations of jobs that the store does not have yet."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from damaskpin.coordinator import records
from damaskpin.entry import outcomes
from damaskpin.entry import view as views
from damaskpin.runtime import clocks
from damaskpin.runtime import requests
from damaskpin.runtime import retention
from damaskpin.store import layout
from tests.test_runtime import outages
from tests.test_runtime import versioned_store

JOB = outages.JOB
OTHERS_JOB = msgspec.structs.replace(JOB, account='other')
JOB_KEY = layout.make_job_key(JOB.id)
CANCEL_KEY = layout.make_cancel_key(JOB.id)
RETENTION_S = 120.0


class _Probe:
    async def is_available(self, deadline):
        return True


class _Entries:
    """Entries that share a store, each with a view that knows no job yet."""

    def __init__(self, count=2):
        self.store = versioned_store.VersionedStore()
        self.entries = [
            requests.Requests(self.store, views.JobView(), _Probe())
            for _ in range(count)
        ]

    def submit(self, entry, job=JOB):
        return asyncio.run(self.entries[entry].submit(job, _get_deadline()))

    def cancel(self, entry, account=JOB.account):
        return asyncio.run(
            self.entries[entry].cancel(JOB.id, account, _get_deadline())
        )

    def show(self, entry, account=JOB.account):
        return asyncio.run(
            self.entries[entry].get_state(JOB.id, account, _get_deadline())
        )

    def has_job(self):
        """Return whether the store has a job that may run."""
        item = self.store.items.get(JOB_KEY)
        if item is None or CANCEL_KEY in self.store.items:
            return False
        record = records.decode_job_record(item.value)
        return not isinstance(record, records.Tombstone)


def _get_deadline():
    return clocks.get_monotonic_time() + 2.0


def _submit_late(fleet, entry, job=JOB):
    """Submit a job whose write the store carries out later."""
    fleet.store.late = True
    assert isinstance(fleet.submit(entry, job), outcomes.Undecided)
    fleet.store.late = False


@pytest.mark.parametrize('canceller', [0, 1, 2])
def test_late_write_of_a_cancelled_job_has_no_effect(canceller):
    """Guards against a job that starts after its cancel was answered.

    Its write was undecided at two entries, and the cancel may reach these or
    one that has not seen the job.
    """
    fleet = _Entries(3)
    _submit_late(fleet, 0)
    _submit_late(fleet, 1)
    assert fleet.cancel(canceller) == outcomes.JobNotFound()
    fleet.store.carry_out_delayed()
    assert not fleet.has_job()
    assert fleet.show(0) == outcomes.JobNotFound()


def test_submission_after_the_cancel_is_refused_and_told_so():
    """Guards against a job that is accepted and cancelled without notice.

    A request that was under way when its client cancelled may arrive later.
    """
    fleet = _Entries()
    fleet.cancel(0)
    assert fleet.submit(1) == outcomes.Withdrawn()
    assert fleet.submit(0) == outcomes.Withdrawn()
    assert not fleet.has_job()


def test_other_accounts_may_use_the_id_of_a_cancelled_job():
    """Guards against an account that cancels another account's later job."""
    fleet = _Entries()
    fleet.cancel(0)
    assert fleet.submit(1, OTHERS_JOB) == outcomes.Accepted()
    assert fleet.has_job()
    assert fleet.cancel(0) == outcomes.JobNotFound()
    assert fleet.has_job()
    assert fleet.show(0, 'other') != outcomes.JobNotFound()


def test_two_accounts_that_cancel_one_id_are_both_heeded():
    """Guards against a cancel that overwrites the one of another account."""
    fleet = _Entries()
    fleet.cancel(0)
    _submit_late(fleet, 1, OTHERS_JOB)
    assert fleet.cancel(0, 'other') == outcomes.JobNotFound()
    fleet.store.carry_out_delayed()
    assert not fleet.has_job()
    assert fleet.submit(0) == outcomes.Withdrawn()
    assert fleet.submit(0, OTHERS_JOB) == outcomes.Withdrawn()


def test_job_that_is_stored_before_the_tombstone_is_cancelled():
    """Guards against a write that comes between the read and the cancel."""
    fleet = _Entries()
    _submit_late(fleet, 0)
    fleet.store.before_commit = fleet.store.carry_out_delayed
    assert fleet.cancel(1) == outcomes.Accepted()
    assert CANCEL_KEY in fleet.store.items


def test_cancel_without_an_answer_is_undecided_and_can_be_repeated():
    """Guards against a cancel that is confirmed and is not stored."""
    fleet = _Entries()
    _submit_late(fleet, 0)
    fleet.store.late = True
    assert isinstance(fleet.cancel(1), outcomes.Undecided)
    fleet.store.late = False
    assert fleet.cancel(0) == outcomes.JobNotFound()
    fleet.store.carry_out_delayed()
    assert not fleet.has_job()


def test_lost_answers_of_the_tombstone_leave_the_job_cancelled():
    """Guards against a repeated cancel that finds its own record."""
    fleet = _Entries()
    fleet.store.lost = True
    fleet.cancel(0)
    fleet.store.lost = False
    writes = fleet.store.writes
    assert fleet.cancel(1) == outcomes.JobNotFound()
    assert fleet.store.writes == writes + 1
    assert fleet.submit(0) == outcomes.Withdrawn()


def test_cancels_at_two_entries_at_once_agree():
    """Guards against a cancel that fails since another one is stored."""
    fleet = _Entries()

    async def cancel_at_both():
        return await asyncio.gather(
            *(
                entry.cancel(JOB.id, JOB.account, _get_deadline())
                for entry in fleet.entries
            )
        )

    assert asyncio.run(cancel_at_both()) == [outcomes.JobNotFound()] * 2
    assert not fleet.has_job()


def test_late_tombstone_does_not_cancel_an_accepted_job():
    """Guards against an accepted job that an unconfirmed cancel removes."""
    fleet = _Entries()
    fleet.store.late = True
    fleet.cancel(0)
    fleet.store.late = False
    assert fleet.submit(1) == outcomes.Accepted()
    fleet.store.carry_out_delayed()
    assert fleet.has_job()


def _make_view(store):
    view = views.JobView()
    for item in store.items.values():
        view.apply(item, 0.0)
    return view


def test_tombstone_is_no_job_in_the_view():
    """Guards against tombstones that count as pending jobs."""
    fleet = _Entries()
    fleet.cancel(0)
    view = _make_view(fleet.store)
    assert view.get(JOB.id) is None
    assert view.list_jobs() == []
    assert view.count_pending(JOB.terms.queue) == 0
    fleet.submit(0, OTHERS_JOB)
    view.apply(fleet.store.items[JOB_KEY], 0.0)
    assert view.get(JOB.id).submission == OTHERS_JOB
    assert view.list_tombstones() == []


@pytest.mark.parametrize(('age', 'removed'), [(1.0, 0), (3600.0, 1)])
def test_tombstone_is_removed_after_the_retention_time(age, removed):
    """Guards against tombstones that fill the store, or end too early."""
    fleet = _Entries()
    fleet.cancel(0)
    fleet.store.items[layout.LEADER_KEY] = msgspec.structs.replace(
        fleet.store.items[JOB_KEY], key=layout.LEADER_KEY, revision=3
    )
    view = _make_view(fleet.store)
    job_retention = retention.Retention(
        fleet.store, view, RETENTION_S, lambda: 3
    )
    wall_time = clocks.get_wall_time() + age
    count = asyncio.run(job_retention.remove_expired(wall_time))
    assert count == removed
    assert (JOB_KEY not in fleet.store.items) == bool(removed)
