"""Tests of what a coordinator is told about the jobs that it begins with."""

from __future__ import annotations

import asyncio
import types

import msgspec

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import records
from damaskpin.entry import view as views
from damaskpin.runtime import clocks
from damaskpin.runtime import coordination as coordinations
from damaskpin.store import layout
from damaskpin.store import transactions
from tests.test_runtime import outages

FENCE = 3
# Seconds by which the clock of the accepting entry is ahead.
SKEW_S = 60.0


def _make_change(job_id):
    submission = msgspec.structs.replace(
        outages.JOB, id=job_id, accepted=clocks.get_wall_time() + SKEW_S
    )
    return transactions.StoredItem(
        layout.make_job_key(job_id),
        records.encode_submission(submission),
        FENCE,
        FENCE,
    )


def _make_coordination(view, leadership):
    """Return the coordination of an entry that holds the leader key."""
    settings = types.SimpleNamespace(
        grant_duration=13.5,
        stop_time=0.4,
        longest_lease=10.0,
        instance='e',
        address='tcp://e',
    )
    mirror = types.SimpleNamespace(revision=FENCE, complete=True, listings=1)
    config = types.SimpleNamespace(installation=None)
    return coordinations.Coordination(
        settings, None, view, mirror, leadership, None, config
    )


def test_jobs_of_a_takeover_are_as_old_as_the_view_tells(monkeypatch):
    """Guards against a takeover that takes old jobs for new ones.

    Idle work would wait until no job has come for some time. A job that the
    store shows later is new, whatever the clock of its entry tells.
    """
    added = []
    add_job = coordinators.Coordinator.add_job

    def record(self, now, job):
        add_job(self, now, job)
        added.append((job.id, round(now - job.times.arrived)))

    monkeypatch.setattr(coordinators.Coordinator, 'add_job', record)

    async def play():
        view = views.JobView()
        now = clocks.get_monotonic_time()
        view.apply(_make_change('a' * 16), now - 30.0)
        leadership = types.SimpleNamespace(
            fence=FENCE,
            is_leader=lambda: True,
            former_term=None,
            nonce='',
            renewed=0.0,
        )
        coordination = _make_coordination(view, leadership)
        coordination.decide_and_send()
        change = _make_change('b' * 16)
        coordination.apply_change(change, view.apply(change, now))
        leadership.fence = 0
        coordination.stop()

    asyncio.run(play())
    assert added == [('a' * 16, 30), ('b' * 16, 0)]
