"""Tests of the times since when jobs that wait are unchanged and idle."""

from __future__ import annotations

import math

import pytest

from damaskpin.coordinator import records
from damaskpin.entry import job_ages
from damaskpin.entry import work_watch
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import waits

LATE_S = waits.LATE_S
# Time in seconds for which another entry coordinates.
ABSENCE_S = 10.0


@pytest.fixture(autouse=True)
def capture_logs(caplog):
    waits.capture(caplog)


def _make_followed_scene():
    """Return a scene with a job that waits while another entry coordinates."""
    scene = waits.Scene()
    scene.leads = scene.decides = False
    scene.follows = True
    job = scene.submit(builders.make_step(2))
    scene.play(ABSENCE_S)
    return scene, job


def _store_run(scene, job, number=1):
    """Store a run of the job that may exist."""
    progress = job.get_step_progress(0, 0)
    lifetime = work.Lifetime('w0', 1)
    progress.active.append(records.ActiveRun(0, number, lifetime, 'agent'))
    progress.numbers[0] = number
    scene.store(job)


def _end_runs(scene, job):
    """Store that the runs of the job have ended."""
    job.get_step_progress(0, 0).active.clear()
    scene.store(job)


def _play_takeover(scene, caplog):
    """Let the entry take over and return the line about the job."""
    scene.follows = False
    scene.play(LATE_S)
    return waits.list_waits(caplog)[-1]


def test_wait_before_a_takeover_is_told_after_it(caplog):
    """Guards against a wait that seems to begin with each coordinator."""
    scene, _ = _make_followed_scene()
    assert waits.list_waits(caplog) == []
    record = _play_takeover(scene, caplog)
    assert record.idle >= ABSENCE_S
    assert record.unchanged >= ABSENCE_S
    assert record.with_room <= record.coordinating <= LATE_S


def test_job_with_a_stored_run_is_not_idle_by_the_store(caplog):
    """Guards against idle time of a job whose run may have been listed."""
    scene, job = _make_followed_scene()
    _store_run(scene, job)
    scene.play(ABSENCE_S)
    record = _play_takeover(scene, caplog)
    assert record.idle <= LATE_S
    assert ABSENCE_S <= record.unchanged <= ABSENCE_S + 2 * LATE_S


def test_change_of_the_progress_is_seen_without_coordinating(caplog):
    """Guards against an age that goes on when another entry stores an end."""
    scene, job = _make_followed_scene()
    _store_run(scene, job)
    scene.play(ABSENCE_S)
    _end_runs(scene, job)
    scene.play(1.0)
    record = _play_takeover(scene, caplog)
    assert record.unchanged <= 1.0 + 2 * LATE_S
    assert record.idle <= 1.0 + 2 * LATE_S


def test_idle_time_by_own_lists_is_kept_while_another_coordinates(caplog):
    """Guards against a wait cut in pieces when two entries take turns."""
    scene, job = _make_followed_scene()
    _store_run(scene, job)
    _play_takeover(scene, caplog)
    scene.follows = True
    scene.play(ABSENCE_S)
    record = _play_takeover(scene, caplog)
    assert record.idle >= ABSENCE_S + LATE_S
    assert record.coordinating <= LATE_S


def test_idle_time_by_own_lists_ends_with_the_next_run(caplog):
    """Guards against idle time that spans a run of another coordinator."""
    scene, job = _make_followed_scene()
    _store_run(scene, job)
    _play_takeover(scene, caplog)
    scene.follows = True
    scene.play(1.0)
    _store_run(scene, job, 2)
    scene.play(1.0)
    record = _play_takeover(scene, caplog)
    assert record.idle <= 2 * LATE_S


def test_end_of_a_wait_tells_the_ages(caplog):
    """Guards against an end of a wait that hides the takeover before it."""
    scene, _ = _make_followed_scene()
    _play_takeover(scene, caplog)
    run = work.Run(work.Item('job', 0, 0, 0), 1)
    scene.listed = {'w0': (run,)}
    scene.play(1.0)
    (record,) = waits.list_ends(caplog)
    assert record.idle >= ABSENCE_S
    assert record.unchanged >= ABSENCE_S
    assert record.coordinating <= LATE_S + 1.0


def test_entry_without_a_coordinator_tells_no_time_of_its_own(caplog):
    """Guards against a wait under no coordinator that names one."""
    scene, _ = _make_followed_scene()
    scene.is_stopped = True
    record = _play_takeover(scene, caplog)
    assert record.coordinating is None
    assert record.unchanged >= ABSENCE_S


def test_next_coordinator_of_the_entry_counts_anew(caplog):
    """Guards against the time of an earlier coordinator of the same entry."""
    scene, _ = _make_followed_scene()
    _play_takeover(scene, caplog)
    scene.play(ABSENCE_S)
    scene.coordinator.fence += 1
    scene.get_worker('w1').suspect_until = scene.now + 60.0
    scene.leads = True
    scene.play(work_watch.MIN_LINE_INTERVAL_S)
    record = waits.list_waits(caplog)[-1]
    assert record.coordinating <= work_watch.MIN_LINE_INTERVAL_S
    assert record.idle >= 2 * ABSENCE_S


def test_job_that_has_ended_is_forgotten():
    """Guards against ages that are kept for ever."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step())
    ages = job_ages.JobAges()
    ages.update(scene.now, scene.view.list_jobs())
    assert ages.get_changed('job') == scene.now
    job.finish(work.JobState.FAILED, waits.WALL, 'test')
    scene.store(job)
    ages.update(scene.now + 1.0, scene.view.list_jobs())
    assert math.isinf(ages.get_changed('job'))
    assert math.isinf(ages.get_idle_since('job'))
