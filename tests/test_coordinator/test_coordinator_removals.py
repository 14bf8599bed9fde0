"""Tests of the log lines with which runs leave the books."""

from __future__ import annotations

import logging

import msgspec
import pytest

from damaskpin.coordinator import removals
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = builders.NOW


def _list_end(coordinator, worker, run):
    reports.list_end(coordinator, worker, run, work.Ending.FAILED)


def _refuse(coordinator, worker, run):
    refused = (orders.RefusedRun(run, 'status 503'),)
    reports.report(coordinator, worker, refused=refused)


def _list_without_run(coordinator, worker, run):
    worker.has_run_lists = False
    reports.report(coordinator, worker)


def _leave(coordinator, worker, run):
    other = msgspec.structs.replace(
        worker.profile, lifetime=work.Lifetime('other', 9)
    )
    reports.report(coordinator, worker, left=worker.lifetime, profile=other)


def _report_other_worker(coordinator, worker, run):
    other = msgspec.structs.replace(
        worker.profile, lifetime=work.Lifetime('other', 9)
    )
    reports.report(coordinator, worker, profile=other)


def _wait_for_end_of_lease(coordinator, worker, run):
    coordinator.decide(worker.latest_run_end + 0.1, builders.WALL)


@pytest.mark.parametrize(
    ('remove', 'message', 'reason', 'proof'),
    [
        (_list_end, 'run ended', 'failed', removals.Proof.END_LISTED),
        (
            _refuse,
            'run removed',
            'refused: status 503',
            removals.Proof.REFUSED,
        ),
        (
            _list_without_run,
            'run removed',
            'the run was never started',
            removals.Proof.NEVER_STARTED,
        ),
        (
            _leave,
            'run removed',
            'the worker has left',
            removals.Proof.WORKER_LEFT,
        ),
        (
            _report_other_worker,
            'run removed',
            'the agent has a new worker',
            removals.Proof.OTHER_WORKER,
        ),
        (
            _wait_for_end_of_lease,
            'run removed',
            'the lease of the silent worker has ended',
            removals.Proof.LEASE_ENDED,
        ),
    ],
)
def test_removal_is_logged_with_its_proof(
    caplog, remove, message, reason, proof
):
    """Guards against a second start whose cause the log does not show."""
    caplog.set_level(logging.INFO)
    coordinator, ledger, _ = reports.make_coordinator(builders.make_step())
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    remove(coordinator, worker, run)
    assert run not in worker.runs or worker.lifetime not in ledger.workers
    (record,) = [r for r in caplog.records if r.message == message]
    assert (record.reason, record.proof) == (reason, str(proof))
