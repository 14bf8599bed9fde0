"""Builders of workers and jobs for tests of scheduling decisions."""

from __future__ import annotations

from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import placement
from damaskpin.coordinator import records
from damaskpin.model import work
from damaskpin.peer import orders

CAPACITY = work.Resources(128_000, 256_000, 8)
WALL = 1_000_000.0
NOW = 100.0
GRANT_S = 9.0
STOP_S = 0.5


def make_ledger(workers=6, rack_size=3, capacity=CAPACITY):
    """Return a ledger with idle workers whose agents report."""
    ledger = ledgers.RunLedger(NOW, GRANT_S, STOP_S)
    for index in range(workers):
        lifetime = work.Lifetime(f'w{index}', index + 1)
        worker = ledger.find_worker(NOW, f'agent-{index}', lifetime)
        rack = f'r{index // rack_size}'
        worker.set_profile(
            orders.WorkerProfile(
                lifetime,
                's',
                'dc',
                rack,
                ('a', rack),
                capacity,
                False,
                0.0,
            )
        )
        worker.has_run_lists = True
        worker.last_report_time = NOW
        worker.address = f'address-{index}'
    return ledger


def make_step(count=1, accelerators=1, estimate=10.0, **more):
    """Return a step whose work items are limited by accelerators."""
    demand = work.Resources(1000, 1000, accelerators)
    return work.Step(count=count, demand=demand, estimate=estimate, **more)


def submit(ledger, job_id, *steps, priority=1, account='a', now=NOW, **more):
    """Add a job to the ledger.

    :param now: time of its acceptance in seconds.
    :param skew: seconds by which the clock of the accepting entry is ahead.
    """
    terms = work.Terms('q', 's', priority, more.pop('attempts', 3), 2.0, 1.0)
    accepted = WALL + now - NOW + more.pop('skew', 0.0)
    submission = work.Submission(
        job_id, account, 'content', steps, terms, accepted, **more
    )
    job = jobs.Job(submission, records.Progress())
    ledger.add_job(now, job)
    return job


def submit_arrival(ledger, now):
    """Add a job that no worker may run, as a sign that jobs still arrive."""
    step = make_step(label='none')
    return submit(ledger, f'arrival-{now}', step, priority=2, now=now)


def decide(ledger, now=NOW, guarantee=0, skew=0.0):
    """Run one placement pass while all agents report.

    :param skew: seconds by which the clock of the coordinator is ahead.
    """
    for worker in ledger.workers.values():
        worker.last_report_time = now
    placement.place_ready_units(
        now, WALL + now - NOW + skew, ledger, lambda account: guarantee
    )


def list_runs(ledger, job):
    """Return the worker ids of a job's runs by index of the work item."""
    workers_by_index = {}
    for worker in ledger.workers.values():
        for placed in worker.runs.values():
            if placed.job is job:
                workers_by_index[placed.run.item.index] = (
                    worker.lifetime.worker
                )
    return workers_by_index


def list_stopping_jobs(ledger):
    """Return the sorted job ids of the runs that are to be stopped."""
    return sorted(
        placed.job.id
        for worker in ledger.workers.values()
        for placed in worker.runs.values()
        if placed.stop_reason
    )


def report_all_runs_begun(ledger, now):
    """List all placed runs as begun at the given time."""
    for worker in ledger.workers.values():
        for placed in worker.runs.values():
            if not placed.first_listed:
                row = work.RunningRun(placed.run, '', 0.0)
                placed.update_from_list(row, now)
