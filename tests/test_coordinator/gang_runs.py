"""Runs of a gang and their ends, for tests of decisions."""

from __future__ import annotations

from tests.test_coordinator import reports


def make_gang(attempts=2, count=4, workers=4):
    """Return a coordinator, its ledger and a gang that has been placed.

    Each member has a worker of its own.
    """
    step = reports.make_large_step(count=count, gang=True)
    return reports.make_coordinator(step, workers=workers, attempts=attempts)


def list_members(ledger):
    """Return the workers and runs of the gang in the order of its members."""
    members = [
        (worker, run)
        for worker in ledger.workers.values()
        for run in worker.runs
    ]
    return sorted(members, key=lambda member: member[1].item.index)


def list_ends(coordinator, members, endings):
    """List the ends of members, each in a report of its worker's agent."""
    for (worker, run), ending in zip(members, endings, strict=False):
        serial = worker.last_end_serial + 1
        reports.list_end(coordinator, worker, run, ending, serial)
