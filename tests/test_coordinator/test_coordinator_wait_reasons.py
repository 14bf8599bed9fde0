"""Tests of the reasons for which a job waits, each brought about."""

from __future__ import annotations

import logging

import pytest

from damaskpin.coordinator import pass_trace
from damaskpin.coordinator import run_stages
from damaskpin.coordinator import wait_reasons
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import waits

NOW = builders.NOW
Reason = wait_reasons.Reason
Stage = run_stages.Stage


@pytest.fixture(autouse=True)
def capture_logs(caplog):
    caplog.set_level(logging.INFO)


def _make_placed_scene():
    """Return a scene whose job has all its work items placed."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step(1))
    scene.coordinator.decide(NOW, builders.WALL)
    ((run, active),) = job.iterate_active()
    return scene, job, run, scene.ledger.workers[active.lifetime]


@pytest.mark.parametrize('is_stopped', [False, True])
def test_nobody_decides(caplog, is_stopped):
    """Guards against an outage of the coordinator that looks like load."""
    scene = waits.Scene()
    scene.submit(builders.make_step())
    scene.leads = False
    scene.is_stopped = is_stopped
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Reason.NOBODY_DECIDES


def test_books_without_a_lease(caplog):
    """Guards against finished work that looks like work that waits.

    Without the store nobody decides, and ends can't be stored either.
    """
    scene = waits.Scene()
    job = scene.submit(builders.make_step())
    job.finish(work.JobState.COMPLETED, builders.WALL)
    scene.leads = False
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Reason.NOBODY_DECIDES
    assert record.by_books == Reason.NOT_STORED


def test_job_that_the_books_lack(caplog):
    """Guards against a stored job that a takeover has left out."""
    scene = waits.Scene()
    scene.submit(builders.make_step())
    scene.ledger.jobs.clear()
    assert waits.play_to_line(scene, caplog).reason == Reason.NOT_IN_BOOKS


def test_progress_that_the_books_lack(caplog):
    """Guards against a record that was read before its last write."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step(), builders.make_step(after=(0,)))
    progress = job.get_step_progress(0, 0)
    progress.done.add(0)
    scene.store(job)
    progress.done.clear()
    scene.decides = False
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Reason.BOOKS_BEHIND
    assert record.step == 1


def test_progress_that_the_store_lacks(caplog):
    """Guards against an end that is decided and never stored."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step())
    job.finish(work.JobState.COMPLETED, builders.WALL)
    assert waits.play_to_line(scene, caplog).reason == Reason.NOT_STORED


def test_no_placement_pass(caplog):
    """Guards against a ledger that nothing marks as changed."""
    scene = waits.Scene()
    scene.submit(builders.make_step())
    scene.decides = False
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Reason.NO_PASS
    assert record.last_pass is None


def test_unit_that_the_pass_left_out(caplog):
    """Guards against ready work that no pass looks at."""
    scene, _ = waits.make_ready_scene()

    def make_empty_pass():
        scene.ledger.pass_trace.begin(scene.now)

    record = waits.play_to_line(scene, caplog, make_empty_pass)
    assert record.reason == Reason.NOT_IN_PASS
    assert record.last_pass == 0.0


def test_unit_in_shelter_from_chance_crashes(caplog):
    """Guards against a suspect of crashes that is held back unseen."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step())
    job.get_step_progress(0, 0).crashes[0] = {1: True, 2: True}
    idle = orders.Crash(work.Lifetime('other', 1), (), ())
    scene.ledger.crash_watch.record(NOW, idle)
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Reason.SHELTER
    assert record.in_pass == 'held back'
    assert record.suspect


@pytest.mark.parametrize(
    ('outcome', 'reason'),
    [
        (pass_trace.Outcome.SKIPPED, Reason.SKIPPED),
        (pass_trace.Outcome.TRIED, Reason.UNKNOWN),
    ],
)
def test_unit_without_an_obstacle(caplog, outcome, reason):
    """Guards against a skipped unit that looks like one that was tried."""
    scene, unit = waits.make_ready_scene()
    record = waits.play_to_line(
        scene, caplog, waits.trace_pass(scene, unit, outcome)
    )
    assert record.reason == reason
    assert record.in_pass == outcome
    assert set(record.workers.values()) == {'free'}


def test_unit_that_waits_for_the_rack_of_its_data(caplog):
    """Guards against a wait by choice that looks like a lost job."""
    scene = waits.Scene(workers=4, rack_size=1)
    step = builders.make_step(accelerators=8, data_rack='r0', estimate=30.0)
    scene.submit(step, job_id='running')
    scene.coordinator.decide(NOW, builders.WALL)
    scene.list_placed()
    builders.report_all_runs_begun(scene.ledger, NOW)
    scene.submit(
        builders.make_step(accelerators=8, data_rack='r0', estimate=30.0)
    )
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Reason.OWN_RESERVATION
    assert 'not firm for job.0.0.0' in record.own_reservation


def test_start_that_is_not_stored(caplog):
    """Guards against a start that waits for the store without a sign."""
    scene, _, run, worker = _make_placed_scene()
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Stage.NOT_STORED
    (described,) = record.runs
    assert described['item'] == '0.0.0'
    assert described['number'] == run.number
    assert described['worker'] == worker.lifetime.worker
    assert described['age'] >= 2.0
    assert described['until'] > 0


def test_start_that_is_not_ordered(caplog):
    """Guards against a stored start that never goes out."""
    scene, job, _, _ = _make_placed_scene()
    scene.store(job)
    assert waits.play_to_line(scene, caplog).reason == Stage.NOT_ORDERED


def test_start_without_an_answer(caplog):
    """Guards against an ordered start that the worker never takes."""
    scene, job, _, worker = _make_placed_scene()
    scene.store(job)
    scene.coordinator.make_orders(worker)
    assert waits.play_to_line(scene, caplog).reason == Stage.NOT_ANSWERED


def test_accepted_run_that_is_not_listed(caplog):
    """Guards against a run that was accepted and runs nowhere."""
    scene, job, run, worker = _make_placed_scene()
    scene.store(job)
    worker.runs[run].confirmed = True
    assert waits.play_to_line(scene, caplog).reason == Stage.NOT_LISTED


def test_stopped_run_whose_end_nobody_lists(caplog):
    """Guards against a work item that its own stopped run holds back."""
    scene, job, run, worker = _make_placed_scene()
    scene.store(job)
    scene.ledger.stop_run(worker, worker.runs[run], None, 'a test')
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Stage.STOPPING
    assert record.runs[0]['stop'] == 'a test'


@pytest.mark.parametrize(
    ('name', 'stage'),
    [('silent', Stage.SILENT_WORKER), ('unreported', Stage.SILENT_AGENT)],
)
def test_run_on_a_worker_out_of_reach(caplog, name, stage):
    """Guards against a run that is kept until the lease of its worker ends."""
    scene, job, _, worker = _make_placed_scene()
    scene.store(job)
    setattr(scene, name, {worker.lifetime.worker})
    record = waits.play_to_line(scene, caplog)
    assert record.reason == stage
    assert 0 < record.runs[0]['until'] < 2 * builders.GRANT_S
    assert record.agents['known'] == 2


def test_run_on_no_worker(caplog):
    """Guards against a recorded run that is on no worker of the books."""
    scene, job, run, worker = _make_placed_scene()
    scene.store(job)
    del worker.runs[run]
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Stage.NO_WORKER
    assert record.runs == []


def test_run_in_no_record(caplog):
    """Guards against an unrecorded run that holds its work item back."""
    scene = waits.Scene()
    scene.submit(builders.make_step())
    run = work.Run(work.Item('job', 0, 0, 0), 7)
    scene.ledger.stop_unrecorded_run(scene.get_worker('w0'), run)
    assert waits.play_to_line(scene, caplog).reason == Stage.NO_RECORD
