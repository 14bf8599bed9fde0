"""Processor time of one placement pass of the coordinator on a full fleet.

All accelerators are in use and more work waits than fits, so that the pass
looks for room, for runs to preempt and for runs to wait for, and starts
nothing.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import fire

from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import placement
from damaskpin.coordinator import records
from damaskpin.model import work
from damaskpin.peer import orders

if TYPE_CHECKING:
    from collections.abc import Sequence

NOW_S = 100.0
# Unix time at the beginning of the pass.
WALL_S = 1_000_000.0
CAPACITY = work.Resources(128_000, 524_288, 8)
RACK_SIZE = 8
# Members of a gang, and work items of any other job.
GANG_SIZE = 13
WIDE_SIZE = 30
# Waiting work items for each worker.
WAITING_PER_WORKER = 6
REPETITIONS = 3


def make_full_ledger(workers: int) -> ledgers.RunLedger:
    """Return a ledger whose workers are all in use for half a minute."""
    ledger = ledgers.RunLedger(NOW_S, 13.5, 0.4)
    for index in range(workers):
        lifetime = work.Lifetime(f'w{index}', index + 1)
        worker = ledger.find_worker(NOW_S, f'agent-{index}', lifetime)
        if worker is None:
            continue
        rack = f'r{index // RACK_SIZE}'
        worker.set_profile(
            orders.WorkerProfile(
                lifetime, 's', 'dc', rack, ('a', rack), CAPACITY, False, 0.0
            )
        )
        worker.has_run_lists = True
        worker.last_report_time = NOW_S
    submit(ledger, 'running', 8 * workers, 1, 30.0, False, 2)
    place(ledger)
    for worker in ledger.workers.values():
        for placed in worker.runs.values():
            placed.update_from_list(
                work.RunningRun(placed.run, '', 0.0), NOW_S
            )
    return ledger


def submit(
    ledger: ledgers.RunLedger,
    job_id: str,
    count: int,
    accelerators: int,
    estimate: float,
    gang: bool,
    priority: int,
) -> None:
    """Add a job of one step to a ledger.

    :param estimate: estimated run time of a work item in seconds.
    """
    step = work.Step(
        count=count,
        demand=work.Resources(1000, 1000, accelerators),
        estimate=estimate,
        gang=gang,
        same_rack=gang and len(ledger.jobs) % 2 == 0,
    )
    terms = work.Terms('q', 's', priority, 2, 2.0, 1.0)
    submission = work.Submission(job_id, 'a', '', (step,), terms, WALL_S)
    ledger.add_job(NOW_S, jobs.Job(submission, records.Progress()))


def place(ledger: ledgers.RunLedger) -> float:
    """Make one placement pass; return its processor seconds."""
    begun = time.process_time()
    placement.place_ready_units(NOW_S + 1.0, WALL_S + 1.0, ledger, _get_none)
    return time.process_time() - begun


def _get_none(_account: str) -> int:
    """Return the guarantee of an account that has none."""
    return 0


def measure(workers: int) -> float:
    """Return the processor seconds of a pass; the least of some passes."""
    least = float('inf')
    for _ in range(REPETITIONS):
        ledger = make_full_ledger(workers)
        waiting = 0
        while waiting < WAITING_PER_WORKER * workers:
            number = len(ledger.jobs)
            gang = number % 3 == 0
            count = GANG_SIZE if gang else WIDE_SIZE
            accelerators = 1 + number % 3
            submit(
                ledger,
                f'job-{number}',
                count,
                accelerators,
                10.0,
                gang,
                number % 3,
            )
            waiting += count
        least = min(least, place(ledger))
    return least


def show(sizes: Sequence[int] = (11, 70, 160, 300)) -> None:
    """Print the processor time of a pass for fleets of some sizes.

    :param sizes: numbers of workers.
    """
    for workers in sizes:
        seconds = measure(workers)
        print(f'{workers:>5} workers {1000 * seconds:>8.1f} ms')


if __name__ == '__main__':
    fire.Fire(show)
