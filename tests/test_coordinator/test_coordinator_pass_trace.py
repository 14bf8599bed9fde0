"""Tests of the trace of placement passes."""

from __future__ import annotations

from damaskpin.coordinator import pass_trace
from tests.test_coordinator import builders

NOW = builders.NOW
WORKERS = 3


def _wait_with_a_gang():
    """Return a ledger in which a gang waits for running work."""
    ledger = builders.make_ledger(workers=WORKERS)
    step = builders.make_step(accelerators=8, estimate=600.0)
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    step = builders.make_step(WORKERS, accelerators=8, gang=True)
    builders.submit(ledger, 'gang', step)
    return ledger


def _list_reservations(ledger):
    """Return the reservations of the latest pass on all workers."""
    by_worker = ledger.pass_trace.reservations
    return [r for reservations in by_worker.values() for r in reservations]


def test_reservation_stands_since_the_first_pass_that_made_it():
    """Guards against a reservation whose age no line tells."""
    ledger = _wait_with_a_gang()
    for seconds in (0.0, 1.0, 2.0):
        builders.decide(ledger, NOW + seconds)
    reservations = _list_reservations(ledger)
    assert len(reservations) == WORKERS
    assert {r.since for r in reservations} == {NOW}
    assert ledger.pass_trace.time == NOW + 2.0


def test_reservation_that_a_pass_lacks_begins_anew():
    """Guards against an age that counts times without the reservation."""
    ledger = _wait_with_a_gang()
    builders.decide(ledger)
    gang = ledger.jobs.pop('gang')
    builders.decide(ledger, NOW + 1.0)
    assert _list_reservations(ledger) == []
    ledger.jobs['gang'] = gang
    builders.decide(ledger, NOW + 2.0)
    assert {r.since for r in _list_reservations(ledger)} == {NOW + 2.0}


def test_pass_without_ready_work_is_traced():
    """Guards against an old outcome that is taken for one of this pass."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    (outcome,) = ledger.pass_trace.outcomes.values()
    assert outcome is pass_trace.Outcome.STARTED
    assert list(job.iterate_active())
    builders.decide(ledger, NOW + 1.0)
    assert ledger.pass_trace.outcomes == {}
    assert ledger.pass_trace.time == NOW + 1.0


def test_units_after_one_that_finds_no_place_are_skipped():
    """Guards against a skipped unit that looks like one that was tried."""
    ledger = builders.make_ledger(workers=1)
    builders.submit(ledger, 'running', builders.make_step(accelerators=8))
    builders.decide(ledger)
    for index in range(2):
        step = builders.make_step(accelerators=8)
        builders.submit(ledger, f'reserved-{index}', step)
    builders.submit(ledger, 'job', builders.make_step(3), now=NOW + 1.0)
    builders.decide(ledger, NOW + 2.0)
    outcomes = {
        key[3]: outcome
        for key, outcome in ledger.pass_trace.outcomes.items()
        if key[0] == 'job'
    }
    assert outcomes == {
        0: pass_trace.Outcome.TRIED,
        1: pass_trace.Outcome.SKIPPED,
        2: pass_trace.Outcome.SKIPPED,
    }
