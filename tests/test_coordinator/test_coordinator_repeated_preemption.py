"""Tests of bursts of urgent work beyond the guarantees, on full workers.

An urgent unit stops others' work and waits until it has ended. If the capacity
is lost meanwhile, the unit must not stop more and more work for itself.
"""

from __future__ import annotations

from damaskpin.coordinator import ends
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
AGE_S = 1.0


def _make_full_ledger(workers):
    """Return a ledger whose workers run unsaved work that has just begun."""
    ledger = builders.make_ledger(workers=workers)
    step = builders.make_step(8 * workers, 1, 30.0)
    builders.submit(ledger, 'others', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    return ledger


def _submit_urgent(ledger, job_id, estimate):
    step = builders.make_step(1, 4, estimate)
    return builders.submit(ledger, job_id, step, priority=0, now=NOW + AGE_S)


def _list_stopping(ledger):
    return [
        (worker, placed)
        for worker in ledger.workers.values()
        for placed in worker.runs.values()
        if placed.stop_reason
    ]


def test_preemptions_for_one_unit_share_one_limit():
    """Guards against an urgent job that stops work again and again."""
    ledger = _make_full_ledger(2)
    _submit_urgent(ledger, 'urgent', 10.0)
    builders.decide(ledger, NOW + AGE_S)
    stopping = _list_stopping(ledger)
    assert len(stopping) == 4
    stopping[0][0].silence = 1.0
    builders.decide(ledger, NOW + AGE_S + 0.1)
    assert len(_list_stopping(ledger)) == 4


def test_capacity_is_kept_for_the_unit_that_has_preempted():
    """Guards against work that is stopped in vain.

    Another urgent unit with an earlier objective would take the capacity.
    """
    ledger = _make_full_ledger(1)
    urgent = _submit_urgent(ledger, 'urgent', 10.0)
    builders.decide(ledger, NOW + AGE_S)
    victims = _list_stopping(ledger)
    earlier = _submit_urgent(ledger, 'earlier', 2.0)
    for serial, (worker, placed) in enumerate(victims, 1):
        row = work.EndedRun(serial, placed.run, work.Ending.STOPPED, '')
        ends.record_end(NOW + AGE_S, builders.WALL, ledger, worker, row)
    builders.decide(ledger, NOW + AGE_S + 0.3)
    assert builders.list_runs(ledger, urgent)
    assert not builders.list_runs(ledger, earlier)


def test_unit_that_has_used_up_its_limit_keeps_what_it_has_freed():
    """Guards against capacity that passes to later work in between."""
    ledger = _make_full_ledger(1)
    urgent = _submit_urgent(ledger, 'urgent', 10.0)
    builders.decide(ledger, NOW + AGE_S)
    victims = _list_stopping(ledger)
    urgent.preemption_losses = dict.fromkeys(urgent.preemption_losses, 1e6)
    small = builders.submit(
        ledger, 'small', builders.make_step(1, 1, 30.0), now=NOW + AGE_S
    )
    worker, placed = victims[0]
    row = work.EndedRun(1, placed.run, work.Ending.STOPPED, '')
    ends.record_end(NOW + AGE_S, builders.WALL, ledger, worker, row)
    builders.decide(ledger, NOW + AGE_S + 0.3)
    assert not builders.list_runs(ledger, small)
