"""Tests of work that waits behind many suspects of crashes."""

from __future__ import annotations

import pytest

from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds:
# it must not be idle for 3 s once 14 s have passed since the last one came.
LONGEST_WAIT_S = 14.0
TICK_S = 0.25
SHORT_S = 1.0


def _submit_suspects(ledger, count, priority):
    """Submit a wide job whose work items were lost as they were started."""
    step = builders.make_step(count, accelerators=1, estimate=SHORT_S)
    job = builders.submit(ledger, 'wide', step, priority=priority)
    progress = job.get_step_progress(0, 0)
    for index in range(count):
        progress.unanswered[index] = {1}
        progress.numbers[index] = 1


def _end_old_runs(ledger, now):
    for worker in ledger.workers.values():
        for run, placed in list(worker.runs.items()):
            if placed.placed_at > now - SHORT_S:
                continue
            worker.remove_run(run)
            placed.job.remove_run(run)
            placed.job.get_step_progress(0, 0).done.add(run.item.index)


@pytest.mark.parametrize(('workers', 'count'), [(2, 30), (3, 55)])
@pytest.mark.parametrize('priority', [0, 2])
def test_no_job_waits_behind_the_suspects_of_a_wide_one(
    workers, count, priority
):
    """Guards against a job that has nothing running while there is room.

    All workers have crashed while a wide job was being started. Each of its
    work items is a suspect, which starts alone on a worker for 2.5 s, and
    keeps other work away from it.
    """
    ledger = builders.make_ledger(workers=workers)
    _submit_suspects(ledger, count, priority)
    step = builders.make_step(accelerators=1, estimate=10.0)
    small = builders.submit(ledger, 'small', step, priority=2, now=NOW + 0.1)
    now = NOW + 0.1
    while not builders.list_runs(ledger, small):
        assert now - NOW <= LONGEST_WAIT_S
        builders.decide(ledger, now)
        _end_old_runs(ledger, now)
        now += TICK_S
