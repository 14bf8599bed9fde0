"""Tests of how the coordinator handles the reports of agents."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import leases
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


def _make_coordinator_with_run():
    """Return a coordinator whose only worker has a run."""
    ledger = builders.make_ledger(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    (worker,) = ledger.workers.values()
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    return ledger, coordinator, worker, job


def _handle_report(coordinator, worker, **more):
    report = _make_report(worker, **more)
    coordinator.handle_report(NOW, builders.WALL, report, worker.address)


def test_silent_worker_gets_no_work_until_it_answers():
    """A dead worker, for which its agent still reports, starts no runs."""
    ledger = builders.make_ledger(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    (worker,) = ledger.workers.values()
    _handle_report(coordinator, worker, silence=1.5)
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    assert builders.list_runs(ledger, job) == {}
    _handle_report(coordinator, worker)
    builders.decide(ledger)
    assert builders.list_runs(ledger, job) == {0: 'w0'}


def test_run_with_a_lapsed_lease_is_restarted_elsewhere_at_once():
    """Lost work must not wait until the grant of the worker's agent ends."""
    ledger = builders.make_ledger(workers=2)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    (worker,) = [w for w in ledger.workers.values() if w.runs]
    (run,) = worker.runs
    refused = orders.RefusedRun(run, 'the lease has ended')
    _handle_report(coordinator, worker, silence=9.0, refused=(refused,))
    builders.decide(ledger)
    other = {'w0': 'w1', 'w1': 'w0'}[worker.lifetime.worker]
    assert builders.list_runs(ledger, job) == {0: other}


def test_run_on_a_silent_worker_is_not_counted_as_missing():
    """Outdated lists of a silent worker do not show newer runs."""
    ledger, coordinator, worker, job = _make_coordinator_with_run()
    (run,) = worker.runs
    row = work.RunningRun(run, '', 5.0)
    _handle_report(coordinator, worker, running=(row,))
    for _ in range(4):
        _handle_report(coordinator, worker, running=(row,), silence=3.0)
    assert builders.list_runs(ledger, job) == {0: 'w0'}
    assert builders.list_stopping_jobs(ledger) == []


def test_runs_of_a_lost_instance_are_removed_when_the_lease_ends():
    """A gang must not wait 15 s for a member whose whole instance is lost."""
    ledger, coordinator, worker, job = _make_coordinator_with_run()
    _handle_report(coordinator, worker, silence=2.0, lapse=4.0)
    coordinator.make_orders(worker)
    lease_end = NOW + 5.0 + leases.MAX_SUSPENSION_S
    coordinator.decide(lease_end - 0.1, builders.WALL)
    assert builders.list_runs(ledger, job) == {0: 'w0'}
    coordinator.decide(lease_end + 0.1, builders.WALL)
    assert builders.list_runs(ledger, job) == {}


def test_worker_that_answers_again_keeps_its_whole_grant():
    """Runs may continue until the grant of the worker's agent ends."""
    ledger, coordinator, worker, job = _make_coordinator_with_run()
    _handle_report(coordinator, worker, silence=2.0, lapse=4.0)
    _handle_report(coordinator, worker)
    coordinator.make_orders(worker)
    coordinator.decide(NOW + builders.GRANT_S, builders.WALL)
    assert builders.list_runs(ledger, job) == {0: 'w0'}


def test_outdated_report_of_silence_does_not_shorten_a_later_grant():
    """Reports may arrive out of order, after the lease was renewed."""
    ledger, coordinator, worker, job = _make_coordinator_with_run()
    _handle_report(coordinator, worker, time=5.0)
    coordinator.make_orders(worker)
    _handle_report(coordinator, worker, time=4.0, silence=2.0, lapse=1.0)
    lease_end = NOW + 3.0 + leases.MAX_SUSPENSION_S
    coordinator.decide(lease_end, builders.WALL)
    assert builders.list_runs(ledger, job) == {0: 'w0'}
    _handle_report(coordinator, worker, time=6.0, silence=2.0, lapse=1.0)
    coordinator.decide(lease_end, builders.WALL)
    assert builders.list_runs(ledger, job) == {}


def test_dead_worker_is_not_removed_and_added_with_each_report():
    """Removing and adding the worker would log two lines, twice a second."""
    ledger = builders.make_ledger(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    (worker,) = ledger.workers.values()
    for second in range(5):
        now = NOW + second
        report = _make_report(worker, time=now, silence=9.0, lapse=-2.0)
        coordinator.handle_report(now, builders.WALL, report, worker.address)
        coordinator.decide(now + 0.1, builders.WALL)
    assert list(ledger.workers.values()) == [worker]
    coordinator.decide(NOW + 20.0, builders.WALL)
    assert ledger.workers == {}
