"""Tests of what the coordinator makes of an agent's reports."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
FENCE = 4


def _make_report(worker, **more):
    report = orders.Report(
        worker.agent, 1.0, 1, worker.profile, None, FENCE, FENCE,
        (), (), (), (),
    )  # fmt: skip
    return msgspec.structs.replace(report, **more)


def _make_running():
    """Make a coordinator whose only worker has a run."""
    book = builders.make_book(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, book, None)
    (worker,) = book.workers.values()
    job = builders.submit(book, 'job', builders.make_step())
    builders.decide(book)
    return book, coordinator, worker, job


def _handle(coordinator, worker, **more):
    report = _make_report(worker, **more)
    coordinator.handle_report(NOW, builders.WALL, report, worker.address)


def test_silent_worker_gets_no_work_until_it_answers():
    """An agent reports on while its worker is dead; starts would be lost."""
    book = builders.make_book(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, book, None)
    (worker,) = book.workers.values()
    _handle(coordinator, worker, silence=1.5)
    job = builders.submit(book, 'job', builders.make_step())
    builders.decide(book)
    assert builders.list_runs(book, job) == {}
    _handle(coordinator, worker)
    builders.decide(book)
    assert builders.list_runs(book, job) == {0: 'w0'}


def test_lapsed_run_starts_elsewhere_at_once():
    """Lost work must not wait for the grant of an agent that is alive."""
    book = builders.make_book(workers=2)
    coordinator = coordinators.Coordinator('c', FENCE, book, None)
    job = builders.submit(book, 'job', builders.make_step())
    builders.decide(book)
    (worker,) = [w for w in book.workers.values() if w.runs]
    (run,) = worker.runs
    refused = orders.RefusedRun(run, 'the lease has ended')
    _handle(coordinator, worker, silence=9.0, refused=(refused,))
    builders.decide(book)
    other = {'w0': 'w1', 'w1': 'w0'}[worker.lifetime.worker]
    assert builders.list_runs(book, job) == {0: other}


def test_run_beside_a_silent_worker_is_not_taken_for_missing():
    """Old lists of a silent worker say nothing about newer runs."""
    book, coordinator, worker, job = _make_running()
    (run,) = worker.runs
    row = work.RunningRun(run, '', 5.0)
    _handle(coordinator, worker, running=(row,))
    for _ in range(4):
        _handle(coordinator, worker, running=(row,), silence=3.0)
    assert builders.list_runs(book, job) == {0: 'w0'}
    assert builders.list_stopping_jobs(book) == []


def test_runs_of_a_machine_that_vanished_are_gone_with_the_known_lease():
    """A gang must not wait 15 s for one member that was lost with all."""
    book, coordinator, worker, job = _make_running()
    _handle(coordinator, worker, silence=2.0, lapse=4.0)
    coordinator.make_orders(worker)
    coordinator.decide(NOW + 4.9, builders.WALL)
    assert builders.list_runs(book, job) == {0: 'w0'}
    coordinator.decide(NOW + 5.1, builders.WALL)
    assert builders.list_runs(book, job) == {}


def test_worker_in_contact_keeps_its_whole_grant():
    """Work on a machine that is cut off goes on for the grant."""
    book, coordinator, worker, job = _make_running()
    _handle(coordinator, worker, silence=2.0, lapse=4.0)
    _handle(coordinator, worker)
    coordinator.make_orders(worker)
    coordinator.decide(NOW + builders.GRANT_S, builders.WALL)
    assert builders.list_runs(book, job) == {0: 'w0'}


def test_overtaken_report_of_silence_limits_no_later_grant():
    """Reports may arrive in another order; the lease was renewed since."""
    book, coordinator, worker, job = _make_running()
    _handle(coordinator, worker, time=5.0)
    coordinator.make_orders(worker)
    _handle(coordinator, worker, time=4.0, silence=2.0, lapse=1.0)
    coordinator.decide(NOW + 3.0, builders.WALL)
    assert builders.list_runs(book, job) == {0: 'w0'}
    _handle(coordinator, worker, time=6.0, silence=2.0, lapse=1.0)
    coordinator.decide(NOW + 3.0, builders.WALL)
    assert builders.list_runs(book, job) == {}


def test_dead_worker_is_not_lost_and_known_again_with_each_report():
    """Its agent reports twice a second; each time two lines were logged."""
    book = builders.make_book(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, book, None)
    (worker,) = book.workers.values()
    for second in range(5):
        now = NOW + second
        report = _make_report(worker, time=now, silence=9.0, lapse=-2.0)
        coordinator.handle_report(now, builders.WALL, report, worker.address)
        coordinator.decide(now + 0.1, builders.WALL)
    assert list(book.workers.values()) == [worker]
    coordinator.decide(NOW + 20.0, builders.WALL)
    assert book.workers == {}
