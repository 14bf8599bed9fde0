"""Tests that an event counts once, whoever and however often tells of it."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import tentative_plan
from damaskpin.coordinator import worker_state
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = reports.NOW
FAILED = work.Ending.FAILED


def _fail_members(coordinator, worker, runs):
    """List runs of a worker as failed, each in a report of its own."""
    for run in runs:
        serial = worker.last_end_serial + 1
        reports.list_end(coordinator, worker, run, FAILED, serial)


def test_members_that_fail_on_one_worker_are_one_bad_run():
    """Guards against a sound worker that gets no work after one bad gang."""
    step = builders.make_step(3, 1, gang=True)
    coordinator, ledger, _ = reports.make_coordinator(step, workers=1)
    (worker,) = ledger.workers.values()
    _fail_members(coordinator, worker, list(worker.runs))
    assert worker.has_failed_since_success()
    assert worker.suspect_until <= NOW


def test_runs_of_a_gang_that_fail_on_one_worker_count_each():
    """Guards against a worker that fails gang after gang and stays in use."""
    step = builders.make_step(3, 1, gang=True)
    coordinator, ledger, _ = reports.make_coordinator(
        step, workers=1, attempts=9
    )
    (worker,) = ledger.workers.values()
    for number in range(3):
        assert worker.suspect_until <= NOW, f'suspect after run {number}'
        _fail_members(coordinator, worker, list(worker.runs))
        builders.decide(ledger, NOW + 2.0 + number)
    assert worker.suspect_until > NOW


def test_work_items_of_one_step_that_fail_on_one_worker_count_each():
    """Guards against a failing worker whose runs count as one.

    Runs of different work items have the same number.
    """
    step = builders.make_step(3, 1)
    coordinator, ledger, _ = reports.make_coordinator(step, workers=1)
    (worker,) = ledger.workers.values()
    _fail_members(coordinator, worker, list(worker.runs))
    assert worker.suspect_until > NOW


@pytest.mark.parametrize('ending', [FAILED, work.Ending.BROKEN])
def test_work_of_a_removed_run_is_lost_once(ending):
    """Guards against a loss that is booked for the removal and for the end."""
    coordinator, ledger, _ = reports.make_coordinator(builders.make_step())
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    reports.list_end(coordinator, worker, run, ending)
    assert ledger.lost_work.runs == {'not started': 1}


def test_two_failed_gangs_do_not_make_all_their_workers_suspect():
    """Guards against a fleet without usable workers after two failed runs."""
    ledger = builders.make_ledger(workers=8)
    coordinator = coordinators.Coordinator('c', reports.FENCE, ledger, None)
    step = builders.make_step(8, 4, gang=True, per_worker=1)
    for name in ('first', 'second'):
        builders.submit(ledger, name, step)
    builders.decide(ledger)
    for worker in ledger.workers.values():
        assert len(worker.runs) == 2
        _fail_members(coordinator, worker, list(worker.runs))
    suspects = [w for w in ledger.workers.values() if w.suspect_until > NOW]
    assert len(suspects) <= worker_state.SUSPECT_FAILED_RUNS
    assert all(w.has_failed_since_success() for w in ledger.workers.values())


def test_different_jobs_that_fail_on_one_worker_make_it_suspect():
    """Guards against a worker that fails each job and stays in use."""
    ledger = builders.make_ledger(workers=1)
    coordinator = coordinators.Coordinator('c', reports.FENCE, ledger, None)
    for name in ('first', 'second'):
        builders.submit(ledger, name, builders.make_step())
    builders.decide(ledger)
    (worker,) = ledger.workers.values()
    _fail_members(coordinator, worker, list(worker.runs))
    assert worker.suspect_until > NOW


def test_members_that_a_worker_refuses_are_one_pause():
    """Guards against long pauses of a worker that has refused one gang."""
    step = builders.make_step(3, 1, gang=True)
    coordinator, ledger, _ = reports.make_coordinator(step, workers=1)
    (worker,) = ledger.workers.values()
    for number, run in enumerate(list(worker.runs)):
        refused = (orders.RefusedRun(run, reports.REFUSAL),)
        for _ in range(2):
            now = NOW + 0.2 * number
            reports.report(coordinator, worker, now, refused=refused)
    assert worker.start_pause.refusals == 1
    assert ledger.counts['refused'] == 3


def test_end_in_each_report_until_it_is_acknowledged_counts_once():
    """Guards against a failed run that counts for each copy of its report."""
    step = builders.make_step()
    coordinator, ledger, job = reports.make_coordinator(step, attempts=9)
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    for _ in range(3):
        reports.list_end(coordinator, worker, run, FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert worker.blamed_runs == 1
    assert ledger.counts['failed'] == 1
    assert ledger.lost_work.runs == {'failed': 1}


def test_gang_is_ordered_to_stop_once():
    """Guards against a count of stops that grows with each pass."""
    step = builders.make_step(3, 1, gang=True)
    _, ledger, job = reports.make_coordinator(step, workers=1)
    for _ in range(3):
        ledger.stop_job(job, lost_work.Cause.CANCELLED, 'job cancelled')
    assert ledger.counts['ordered to stop'] == 3


def test_preempted_gang_is_priced_once():
    """Guards against a unit that may preempt less than its limit.

    The members of the preempted gang are on two workers.
    """
    ledger = builders.make_ledger(workers=2)
    step = reports.make_large_step(count=2, gang=True, estimate=100.0)
    builders.submit(ledger, 'victim', step, priority=2)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    urgent = builders.submit(ledger, 'urgent', step, priority=0)
    builders.decide(ledger, NOW + 1.0, guarantee=99)
    lost_seconds = 1.0 + tentative_plan.RESTART_COST_S
    loss = step.count * step.get_core_equivalents() * lost_seconds
    for tenth in range(5):
        assert urgent.preemption_losses == {(0, 0, 0): pytest.approx(loss)}
        builders.decide(ledger, NOW + 1.1 + 0.1 * tenth, guarantee=99)
