"""Tests of workers with more runs than a report should repeat."""

from __future__ import annotations

import msgspec

from damaskpin.agent import calls
from damaskpin.agent import crash_log
from damaskpin.agent import run_lists
from damaskpin.coordinator import candidates
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import small_fleet

NOW = builders.NOW

# Size of a report that a link of 15 Mbit/s, shared with other traffic, carries
# well within the timeout of a call, in bytes.
MAX_REPORT_BYTES = 800_000


def _make_tiny_step(count):
    return work.Step(count=count, demand=work.Resources(), estimate=10.0)


def _name_run(index):
    return work.Run(work.Item('0' * 16, 0, 0, index), 1)


def test_work_is_spread_once_a_worker_has_many_runs(monkeypatch):
    """Guards against reports that outgrow a frame, which cuts the agent off.

    Work items without a demand fit on a worker in any number.
    """
    monkeypatch.setattr(candidates, 'MAX_WORKER_RUNS', 20)
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(ledger, 'job', _make_tiny_step(50))
    builders.decide(ledger)
    counts = sorted(len(w.runs) for w in ledger.workers.values())
    assert counts == [20, 20]
    assert len(builders.list_runs(ledger, job)) == 40


def test_work_of_the_highest_priority_starts_beside_many_runs(monkeypatch):
    """Guards against a guarantee that waits for the end of other work."""
    monkeypatch.setattr(candidates, 'MAX_WORKER_RUNS', 20)
    ledger = builders.make_ledger(workers=1)
    builders.submit(ledger, 'job', _make_tiny_step(50))
    builders.decide(ledger)
    urgent = builders.submit(
        ledger, 'urgent', builders.make_step(2), priority=0
    )
    builders.decide(ledger)
    assert len(builders.list_runs(ledger, urgent)) == 2


def test_report_on_many_runs_and_crashes_stays_small():
    """Guards against reports that take longer than a call may take."""
    fleet = small_fleet.Fleet()
    fleet.begin_run()
    rows = tuple(
        work.RunningRun(_name_run(index), 'a' * 16, 50.0)
        for index in range(candidates.MAX_WORKER_RUNS)
    )
    fleet.advance(NOW + 1.0)
    poll = fleet.agent.make_poll(NOW + 1.0)
    lists = calls.Lists(1000, fleet.worker.lifetime.born, rows, ())
    fleet.agent.handle_poll_result(NOW + 1.0, NOW + 1.0, poll, lists)
    report = fleet.agent.make_report(NOW + 1.0)
    assert len(report.running) == len(rows)
    log = crash_log.CrashLog()
    known_lists = run_lists.RunLists()
    known_lists.update(0, lists)
    for born in range(4):
        log.record(NOW, NOW, work.Lifetime('w', born), known_lists, {})
    crashes = log.list_reported(NOW)
    assert crashes[-1].lifetime.born == 3
    report = msgspec.structs.replace(report, crashes=crashes)
    assert len(msgspec.msgpack.encode(report)) <= MAX_REPORT_BYTES


def test_run_that_is_listed_is_not_reported_as_accepted_too():
    """Guards against reports that name each run twice."""
    fleet = small_fleet.Fleet()
    fleet.begin_run()
    report = fleet.agent.make_report(NOW + 1.0)
    assert [row.run for row in report.running] == [fleet.run]
    assert report.accepted == ()
