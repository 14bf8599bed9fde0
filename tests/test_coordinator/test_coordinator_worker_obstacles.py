"""Tests of the obstacles on workers with room, each brought about."""

from __future__ import annotations

import logging

import msgspec
import pytest

from damaskpin.coordinator import pass_trace
from damaskpin.coordinator import worker_obstacles
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import waits

NOW = builders.NOW
Obstacle = worker_obstacles.Obstacle


@pytest.fixture(autouse=True)
def capture_logs(caplog):
    caplog.set_level(logging.INFO)


def _fill(worker):
    worker.free_capacity = work.Resources()


def _pause(worker):
    worker.start_pause.extend(NOW)
    worker.start_pause.length = 60.0


def _lose_profile(worker):
    worker.profile = None


def _lose_lists(worker):
    worker.has_run_lists = False


def _drain(worker):
    worker.profile = orders.WorkerProfile(
        worker.lifetime, 's', 'dc', 'r0', (), builders.CAPACITY, True, 9.0
    )


def _suspect(worker):
    worker.suspect_until = NOW + 60.0


def _start_suspect(worker):
    worker.last_suspect_start = NOW + 2.0


@pytest.mark.parametrize(
    ('change', 'obstacle'),
    [
        (_drain, Obstacle.DRAINING),
        (_lose_lists, Obstacle.LISTS_NOT_READ),
        (_lose_profile, Obstacle.NO_PROFILE),
        (_pause, Obstacle.PAUSED),
        (_start_suspect, Obstacle.PROBATION),
        (_suspect, Obstacle.SUSPECT),
    ],
)
def test_obstacle_on_the_workers(caplog, change, obstacle):
    """Guards against workers that take no work for a reason nobody sees."""
    scene, unit = waits.make_ready_scene()
    for worker in scene.ledger.workers.values():
        change(worker)
    trace = waits.trace_pass(scene, unit, pass_trace.Outcome.TRIED)
    record = waits.play_to_line(scene, caplog, trace)
    assert record.reason == obstacle
    assert record.workers == {'w0': obstacle, 'w1': obstacle}


def test_books_that_differ_from_the_lists(caplog):
    """Guards against books that count capacity that the workers don't."""
    scene, unit = waits.make_ready_scene()
    for worker in scene.ledger.workers.values():
        _fill(worker)
    trace = waits.trace_pass(scene, unit, pass_trace.Outcome.TRIED)
    record = waits.play_to_line(scene, caplog, trace)
    assert record.reason == Obstacle.FULL
    assert (record.used_share, record.used_share_books) == (0.0, 1.0)
    assert set(record.workers) == {'w0', 'w1'}
    for described in record.workers.values():
        assert described.startswith(Obstacle.FULL + '; ')
        assert 'by the books 0/0/0; by the lists 128000/256000/8' in described


def test_run_that_only_the_books_have_on_a_full_worker(caplog):
    """Guards against a worker that runs nobody lists keep full."""
    scene = waits.Scene()
    scene.decides = False
    step = builders.make_step(2, accelerators=8)
    builders.submit(scene.ledger, 'other', step)
    builders.decide(scene.ledger)
    job = scene.submit(builders.make_step())
    (unit,) = job.iterate_ready(NOW, builders.WALL)
    trace = waits.trace_pass(scene, unit, pass_trace.Outcome.TRIED)
    record = waits.play_to_line(scene, caplog, trace)
    assert record.reason == Obstacle.FULL
    for described in record.workers.values():
        assert described.endswith('; 1 x start not stored')


def test_silent_workers(caplog):
    """Guards against room that only silent workers have."""
    scene = waits.Scene()
    scene.silent = {'w0', 'w1'}
    scene.submit(builders.make_step())
    assert waits.play_to_line(scene, caplog).reason == Obstacle.SILENT


def test_silent_agents(caplog):
    """Guards against a coordinator that reaches part of the agents."""
    scene = waits.Scene()
    scene.play(0.5)
    scene.unreported = {'w0', 'w1'}
    for worker in scene.ledger.workers.values():
        worker.last_report_time = NOW - 60.0
    scene.submit(builders.make_step())
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Obstacle.AGENT_SILENT
    assert record.agents == {'known': 2, 'reporting': 0}


def test_workers_that_the_books_lack(caplog):
    """Guards against workers that report and are not in the books."""
    scene = waits.Scene()
    scene.submit(builders.make_step())
    scene.ledger.workers.clear()
    assert waits.play_to_line(scene, caplog).reason == Obstacle.NOT_KNOWN


def test_limit_of_work_items_on_a_worker(caplog):
    """Guards against a limit of the step that looks like a lost job."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step(3, per_worker=1))
    scene.coordinator.decide(NOW, builders.WALL)
    scene.store(job)
    assert waits.play_to_line(scene, caplog).reason == Obstacle.LIMIT


def test_missing_tickets_of_the_advisor(caplog):
    """Guards against an advisor without answers that nobody sees."""
    scene = waits.Scene()
    job = scene.submit(builders.make_step())
    times = work.AdvisorTimes(decide=0.2, each=0.01, valid=10.0)
    terms = msgspec.structs.replace(job.submission.terms, advice=times)
    job.submission = msgspec.structs.replace(job.submission, terms=terms)
    assert waits.play_to_line(scene, caplog).reason == Obstacle.NO_TICKET


@pytest.mark.parametrize(
    ('is_firm', 'text'), [(False, 'not firm for'), (True, 'firm for')]
)
def test_reservation_of_other_work(caplog, is_firm, text):
    """Guards against room that is held for work that never starts."""
    scene, unit = waits.make_ready_scene()
    other = builders.submit(
        scene.ledger, 'other', builders.make_step(2, 8, gang=True)
    )
    (gang,) = other.iterate_ready(NOW, builders.WALL)
    workers = list(scene.ledger.workers.values())

    def reserve():
        trace = scene.ledger.pass_trace
        waits.trace_pass(scene, unit, pass_trace.Outcome.TRIED)()
        trace.record_reservation(gang, workers, scene.now + 5.0, is_firm)

    record = waits.play_to_line(scene, caplog, reserve)
    assert record.reason == Obstacle.RESERVED
    described = record.workers['w0']
    assert described.startswith(f'reserved; {text} other.0.0.0')
    assert 'start in 5.000 s' in described
    assert 'stands for 2' in described


def test_reservation_of_a_pass(caplog):
    """Guards against reservations of real passes that leave no trace.

    The wide gang waits for the running work; the later job is small.
    """
    scene = waits.Scene(workers=3)
    scene.submit(
        builders.make_step(1, accelerators=8, estimate=600.0),
        job_id='running',
    )
    scene.coordinator.decide(NOW, builders.WALL)
    scene.list_placed()
    builders.report_all_runs_begun(scene.ledger, NOW)
    scene.submit(
        builders.make_step(3, accelerators=8, gang=True), job_id='gang'
    )
    scene.submit(builders.make_step(estimate=900.0), priority=2)
    record = waits.play_to_line(scene, caplog)
    assert record.reason == Obstacle.RESERVED
    assert 'not firm for gang.0.0.0' in record.workers['w1']
