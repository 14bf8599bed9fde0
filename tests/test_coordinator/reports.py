"""Reports of agents about the runs of one job, for tests of their ends."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import records
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
WALL = builders.WALL
FENCE = 4
REFUSAL = 'status 503'


def make_coordinator(*steps, workers=2, **terms):
    """Return a coordinator with one job whose units are placed."""
    ledger = builders.make_ledger(workers=workers)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    job = builders.submit(ledger, 'job', *steps, **terms)
    builders.decide(ledger)
    store(coordinator, job)
    return coordinator, ledger, job


def take_over(former, started, last_former_grant=None):
    """Return the coordinator that follows another one.

    :param former: coordinator, ledger and job of the former one.
    :param started: time of the takeover in seconds.
    """
    coordinator, _, job = former
    ledger = ledgers.RunLedger(
        started,
        builders.GRANT_S,
        builders.STOP_S,
        last_former_grant=last_former_grant,
    )
    successor = coordinators.Coordinator(
        'd', coordinator.fence + 1, ledger, None
    )
    progress = records.decode_progress(records.encode_progress(job.progress))
    loaded = jobs.Job(job.submission, progress)
    ledger.add_job(started, loaded)
    return successor, ledger, loaded


def make_large_step(**more):
    """Return a step of which a worker has room for one work item."""
    return builders.make_step(accelerators=8, **more)


def store(coordinator, job):
    """Store the progress of a job."""
    coordinator.record_stored(job.id, job.progress.version)


def find_worker(ledger, run):
    """Return the worker that has a run by the books."""
    (worker,) = [w for w in ledger.workers.values() if run in w.runs]
    return worker


def find_run(ledger, index=0):
    """Return the only run of the work items with an index."""
    (run,) = [
        run
        for worker in ledger.workers.values()
        for run in worker.runs
        if run.item.index == index
    ]
    return run


def report(coordinator, worker, now=NOW, **more):
    """Report for a worker; return the coordinator's orders in answer."""
    message = orders.Report(
        worker.agent,
        1.0,
        1,
        worker.profile,
        None,
        coordinator.fence,
        coordinator.fence,
        (),
        (),
        (),
        (),
    )
    message = msgspec.structs.replace(message, **more)
    known = coordinator.handle_report(now, WALL, message, worker.address)
    return coordinator.make_orders(known)


def remove(coordinator, ledger, run, reason=REFUSAL, now=NOW):
    """Report a run as refused; return its worker."""
    worker = find_worker(ledger, run)
    refused = (orders.RefusedRun(run, reason),)
    report(coordinator, worker, now, refused=refused)
    assert run not in worker.runs
    return worker


def list_end(coordinator, worker, run, ending, serial=1):
    """List the end of a run; return the coordinator's orders in answer."""
    row = work.EndedRun(serial, run, ending, '')
    return report(coordinator, worker, NOW + 1.0, ended=(row,))


def replace_coordinator(coordinator, job, workers=2):
    """Return a new coordinator that knows what is stored."""
    ledger = builders.make_ledger(workers=workers)
    for worker in ledger.workers.values():
        worker.has_run_lists = False
    successor = coordinators.Coordinator(
        'd', coordinator.fence + 1, ledger, None
    )
    data = records.encode_progress(job.progress)
    stored_job = jobs.Job(job.submission, records.decode_progress(data))
    successor.add_job(NOW, stored_job)
    return successor, ledger, stored_job
