"""Tests of the log of jobs that wait although there is room."""

from __future__ import annotations

import msgspec
import pytest

from damaskpin.coordinator import listed_runs
from damaskpin.coordinator import wait_reasons
from damaskpin.entry import work_watch
from damaskpin.model import work
from damaskpin.store import layout
from tests.test_coordinator import builders
from tests.test_coordinator import waits

LATE_S = waits.LATE_S
SHORT_S = work_watch.MAX_WAIT_S - work_watch.CHECK_INTERVAL_S
NOBODY = wait_reasons.Reason.NOBODY_DECIDES.value


@pytest.fixture(autouse=True)
def capture_logs(caplog):
    waits.capture(caplog)


def _make_idle_scene(**more):
    """Return a scene with one job, for which nobody decides."""
    scene = waits.Scene(**more)
    scene.leads = scene.decides = False
    scene.submit(builders.make_step(2))
    return scene


def _make_run(index=0, job_id='job'):
    return work.Run(work.Item(job_id, 0, 0, index), 1)


def test_job_that_waits_beside_idle_workers_is_logged_once(caplog):
    """Guards against a lost job whose log does not tell what held it back."""
    scene = waits.Scene()
    scene.silent = {'w0'}
    scene.get_worker('w1').suspect_until = waits.NOW + 60.0
    scene.submit(builders.make_step(2))
    scene.play(2 * LATE_S)
    (record,) = waits.list_waits(caplog)
    assert record.job == 'job'
    assert record.workers == {'w0': 'silent', 'w1': 'suspect'}
    assert scene.watch.counts == {record.reason: 1}


def test_line_tells_how_long_there_has_been_room(caplog):
    """Guards against a line about a worker that was freed just before."""
    scene = _make_idle_scene(workers=1)
    scene.listed = {'w0': tuple(_make_run(i, 'big') for i in range(8))}
    scene.submit(builders.make_step(8), job_id='big')
    scene.play(LATE_S)
    assert waits.list_waits(caplog) == []
    scene.listed = {}
    scene.play(SHORT_S)
    assert waits.list_waits(caplog) == []
    scene.play(LATE_S)
    record = next(r for r in waits.list_waits(caplog) if r.job == 'job')
    assert 2.0 <= record.with_room < LATE_S < record.idle
    assert record.used_share == 0.0


def test_job_without_ample_room_is_not_logged(caplog):
    """Guards against a log that is filled by the backlog of a busy service."""
    scene = waits.Scene(workers=1)
    scene.silent = {'w0'}
    scene.submit(builders.make_step(accelerators=8))
    scene.play(2 * LATE_S)
    assert waits.list_waits(caplog) == []


def test_job_in_a_busy_service_is_not_logged(caplog):
    """Guards against lines about waits that the load explains."""
    scene = _make_idle_scene(workers=1)
    wide = work.Step(count=1, demand=work.Resources(100_000, 1000, 1))
    scene.submit(wide, job_id='busy')
    scene.listed = {'w0': (_make_run(0, 'busy'),)}
    scene.play(2 * LATE_S)
    assert waits.list_waits(caplog) == []


def test_room_on_workers_without_the_label_is_no_room(caplog):
    """Guards against lines about work that no worker with room may take."""
    scene = waits.Scene()
    scene.leads = False
    scene.submit(builders.make_step(label='other'))
    scene.play(2 * LATE_S)
    assert waits.list_waits(caplog) == []


def test_job_with_a_listed_run_is_not_logged(caplog):
    """Guards against false alarms, whatever the books tell."""
    scene = _make_idle_scene()
    scene.listed = {'w0': (_make_run(),)}
    scene.play(2 * LATE_S)
    assert waits.list_waits(caplog) == []


def test_newly_accepted_run_counts_as_listed(caplog):
    """Guards against lines about runs that are too new for any list."""
    scene = _make_idle_scene()
    scene.play(SHORT_S)
    scene.accepted = {'w0': (_make_run(),)}
    scene.play(listed_runs.ACCEPTED_GRACE_S)
    scene.listed = scene.accepted
    scene.accepted = {}
    scene.play(LATE_S)
    assert waits.list_waits(caplog) == []


def test_accepted_run_that_is_never_listed_does_not_count(caplog):
    """Guards against a run that was accepted and runs nowhere."""
    scene = _make_idle_scene()
    scene.accepted = {'w0': (_make_run(),)}
    scene.play(LATE_S + listed_runs.ACCEPTED_GRACE_S)
    assert len(waits.list_waits(caplog)) == 1


def test_newly_accepted_runs_take_room(caplog):
    """Guards against room that is gone before the next list."""
    scene = _make_idle_scene(workers=1)
    scene.submit(builders.make_step(20), job_id='big')

    def accept_others():
        number = int(scene.now)
        scene.accepted = {
            'w0': tuple(
                work.Run(work.Item('big', 0, 0, index), number)
                for index in range(7)
            )
        }

    scene.play(2 * LATE_S, accept_others)
    assert waits.list_waits(caplog) == []


def test_run_in_an_old_list_does_not_count_as_running(caplog):
    """Guards against a run that is lost with its silent worker."""
    scene = _make_idle_scene()
    scene.listed = {'w0': (_make_run(),)}
    scene.play(1.0)
    scene.silent = {'w0'}
    scene.unreported = {'w0'}
    scene.play(2 * LATE_S)
    (record,) = waits.list_waits(caplog)
    assert record.idle > work_watch.MAX_WAIT_S


def test_worker_without_reports_is_forgotten(caplog):
    """Guards against room on workers that are gone."""
    scene = _make_idle_scene(workers=1)
    scene.play(1.0)
    scene.unreported = {'w0'}
    scene.play(listed_runs.RETENTION_S + 2 * LATE_S)
    (record,) = waits.list_ends(caplog)
    assert record.end == 'no room, or no step due'


def test_late_report_does_not_replace_a_newer_one(caplog):
    """Guards against lists that a delayed report puts back."""
    scene = _make_idle_scene()
    agent, profile = scene.lists[0]
    scene.listed = {'w0': (_make_run(),)}
    late = scene.make_report(agent, profile, 0)
    scene.listed = {}

    def deliver_late():
        scene.watch.record_report(scene.now, late)

    scene.play(2 * LATE_S, deliver_late)
    assert len(waits.list_waits(caplog)) == 1


def test_reason_that_changes_is_logged_again(caplog):
    """Guards against a wait of which only the first reason is known."""
    scene = _make_idle_scene()
    scene.play(LATE_S)
    scene.leads = True
    del scene.ledger.jobs['job']
    scene.play(LATE_S)
    reasons = [r.reason for r in waits.list_waits(caplog)]
    assert reasons == [NOBODY, wait_reasons.Reason.NOT_IN_BOOKS.value]
    assert scene.watch.counts == {NOBODY: 1}
    reasons = waits.list_waits(caplog)[1].reasons
    assert reasons == {
        NOBODY: LATE_S,
        wait_reasons.Reason.NOT_IN_BOOKS.value: work_watch.CHECK_INTERVAL_S,
    }


def test_reason_that_changes_at_each_check_is_logged_at_intervals(caplog):
    """Guards against a reason that alternates and fills the log."""
    scene = _make_idle_scene()
    del scene.ledger.jobs['job']

    def alternate():
        scene.leads = not scene.leads

    scene.play(20.0, alternate)
    most = 20.0 / work_watch.MIN_LINE_INTERVAL_S
    assert len(waits.list_waits(caplog)) <= most


def test_end_of_a_wait_tells_its_length(caplog):
    """Guards against a wait of which nobody knows how long it was."""
    scene = _make_idle_scene()
    scene.play(5.0)
    scene.listed = {'w0': (_make_run(),)}
    scene.play(1.0)
    (record,) = waits.list_ends(caplog)
    assert record.end == 'running'
    assert record.reason == NOBODY
    assert 5.0 <= record.with_room <= 6.0
    scene.play(LATE_S)
    assert len(waits.list_ends(caplog)) == 1


def test_end_of_the_job_ends_its_wait(caplog):
    """Guards against waits that stay open after the job."""
    scene = _make_idle_scene()
    scene.play(LATE_S)
    scene.put(layout.make_cancel_key('job'), b'')
    scene.play(1.0)
    (record,) = waits.list_ends(caplog)
    assert record.end == 'job ended'


def test_few_jobs_are_logged_at_a_time(caplog):
    """Guards against a log that a backlog fills when nobody decides."""
    scene = _make_idle_scene(workers=6)
    for index in range(20):
        scene.submit(builders.make_step(), job_id=f'more-{index}')
    scene.play(3 * LATE_S)
    assert len(waits.list_waits(caplog)) == work_watch.MAX_LOGGED_JOBS


def test_job_that_is_not_due_is_not_logged(caplog):
    """Guards against lines about work whose turn has not come."""
    scene = waits.Scene()
    scene.leads = False
    schedule = work.Schedule(waits.WALL + 3 * LATE_S, 60.0, 2)
    scene.submit(builders.make_step(), schedule=schedule)
    scene.play(2 * LATE_S)
    assert waits.list_waits(caplog) == []
    scene.play(3 * LATE_S)
    assert len(waits.list_waits(caplog)) == 1


def test_steps_wait_for_those_before_them(caplog):
    """Guards against a line that names a step whose turn has not come."""
    scene = waits.Scene()
    scene.leads = False
    job = scene.submit(builders.make_step(), builders.make_step(2, after=(0,)))
    scene.play()
    job.get_step_progress(0, 0).done.add(0)
    scene.store(job)
    scene.leads = True
    scene.decides = False
    scene.play()
    steps = [r.step for r in waits.list_waits(caplog)]
    assert steps[0] == 0
    assert set(steps[1:]) == {1}


def test_runs_between_two_lists_end_the_wait(caplog):
    """Guards against lines about work that is too short for any list."""
    scene = _make_idle_scene()
    ends = []

    def end_a_run():
        serial = len(ends) + 1
        ends.append(work.EndedRun(serial, _make_run(serial), 'done', ''))
        agent, profile = scene.lists[0]
        scene.sequence += 1
        report = scene.make_report(agent, profile, scene.sequence)
        report = msgspec.structs.replace(report, ended=tuple(ends))
        scene.watch.record_report(scene.now, report)

    scene.play(3 * LATE_S, end_a_run)
    assert waits.list_waits(caplog) == []


def test_repeated_end_does_not_end_the_wait(caplog):
    """Guards against an end that is listed until it is stored."""
    scene = _make_idle_scene()
    ended = (work.EndedRun(1, _make_run(), 'done', ''),)

    def repeat_the_end():
        agent, profile = scene.lists[0]
        scene.sequence += 1
        report = scene.make_report(agent, profile, scene.sequence)
        report = msgspec.structs.replace(report, ended=ended)
        scene.watch.record_report(scene.now, report)

    scene.play(2 * LATE_S, repeat_the_end)
    assert len(waits.list_waits(caplog)) == 1


def test_nothing_is_kept_once_another_entry_coordinates(caplog):
    """Guards against lines from an entry that sees no reports any more."""
    scene = _make_idle_scene()
    scene.play(LATE_S)
    scene.watch.follow(scene.now)
    scene.lists = []
    scene.play(2 * LATE_S)
    assert len(waits.list_waits(caplog)) == 1
    assert waits.list_ends(caplog) == []


def test_waits_are_found_among_many_searches_without_room(caplog):
    """Guards against a limit on searches that hides a job for ever.

    One worker has no accelerators left and the other no cores, so that the
    many jobs, each with a demand of its own, find no room on any.
    """
    scene = _make_idle_scene()
    demands = {
        'accelerators': work.Resources(8000, 1000, 8),
        'cores': work.Resources(100_000, 1000, 0),
    }
    for job_id, demand in demands.items():
        scene.submit(work.Step(count=1, demand=demand), job_id=job_id)
    scene.listed = {
        'w0': (_make_run(0, 'accelerators'),),
        'w1': (_make_run(0, 'cores'),),
    }
    scene.put(layout.make_cancel_key('job'), b'')
    for index in range(3 * listed_runs.MAX_SEARCHES):
        demand = work.Resources(60_000 + index, 1000, 1)
        step = work.Step(count=1, demand=demand)
        scene.submit(step, job_id=f'large-{index}')
    small = work.Step(count=1, demand=work.Resources(1000, 1000, 0))
    scene.submit(small, job_id='small')
    scene.play(4 * LATE_S)
    assert [r.job for r in waits.list_waits(caplog)] == ['small']
