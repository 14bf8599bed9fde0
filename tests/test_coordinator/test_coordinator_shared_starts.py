"""Tests of suspects of crashes that start beside other units."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import crash_watch
from damaskpin.coordinator import crashes
from damaskpin.coordinator import records
from damaskpin.model import crash_limits as limits
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

WALL = builders.WALL

# Time in seconds within which a unit has to start beside room: its age counts
# from 10 s, and then it must not be idle for 3 s.
LONGEST_WAIT_S = 13.0


def _crash_worker(ledger, lifetime, now):
    """Crash a worker all of whose runs had just begun; return the report."""
    worker = ledger.workers[lifetime]
    runs = tuple(worker.runs)
    crash = orders.Crash(lifetime, runs, runs, runs)
    crashes.record_crash(now, WALL, ledger, crash)
    for run in runs:
        ledger.remove_lost_run(worker, run, 'crashed')
    crashes.review_crashes(now + crash_watch.REVIEW_DELAY_S, WALL, ledger)
    return crash


def _get_crashes(job):
    """Return whether each crash under a job's first work item was recent."""
    progress = job.progress.occurrences[0][0]
    return list(progress.crashes[0].values())


def _start_together(ledger, names, now):
    """Start jobs of these names, the same again, together on one worker."""
    (worker,) = ledger.workers.values()
    started = []
    for name in names:
        job = ledger.jobs.get(name)
        if job is None:
            job = builders.submit(ledger, name, builders.make_step())
        started.append(job)
        # The worker looks quiet, and the limit on idle time is not tested.
        worker.last_start = worker.last_suspect_start = now - 10.0
        builders.decide(ledger, now)
        assert builders.list_runs(ledger, job)
    return started, worker.lifetime


def test_crash_of_starts_together_is_no_evidence_against_suspects():
    """Guards against giving up work that started beside a killer.

    The first crash still makes each of them a suspect.
    """
    ledger = builders.make_ledger(workers=1)
    now = builders.NOW
    for count in range(1, limits.MAX_CRASHES):
        now += 20.0
        (first, second), lifetime = _start_together(ledger, 'ab', now)
        _crash_worker(ledger, lifetime, now)
        for job in (first, second):
            assert _get_crashes(job) == [True] + [False] * (count - 1)
            assert not job.is_final()
            assert next(job.iterate_ready(now, WALL)).is_suspect()


def test_confirmed_first_crash_of_starts_together_makes_a_suspect():
    """Guards against a killer that is known by its first report only.

    That has no answer to the start call, and a later one has.
    """
    ledger = builders.make_ledger(workers=1)
    now = builders.NOW
    (first, _), lifetime = _start_together(ledger, 'ab', now)
    runs = tuple(ledger.workers[lifetime].runs)
    for begun in ((), runs):
        crash = orders.Crash(lifetime, runs, runs, begun)
        crashes.record_crash(now, WALL, ledger, crash)
    assert _get_crashes(first) == [True]


def test_crashes_of_starts_together_are_bounded():
    """Guards against a killer that always starts beside others."""
    ledger = builders.make_ledger(workers=1)
    now = builders.NOW
    for _ in range(limits.MAX_CRASHES):
        now += 20.0
        (killer, _), lifetime = _start_together(ledger, 'ab', now)
        _crash_worker(ledger, lifetime, now)
    assert killer.progress.state is work.JobState.FAILED


def test_crash_of_starts_together_is_known_after_a_takeover():
    """Guards against evidence that the next coordinator finds in a repeat.

    It has only what is stored and what the agent reports again.
    """
    ledger = builders.make_ledger(workers=1)
    now = builders.NOW
    for _ in range(2):
        now += 20.0
        (first, _), lifetime = _start_together(ledger, 'ab', now)
        crash = _crash_worker(ledger, lifetime, now)
    data = records.encode_progress(first.progress)
    first.progress = records.decode_progress(data)
    successor = builders.make_ledger(workers=1)
    successor.add_job(now, first)
    crashes.record_crash(now, WALL, successor, crash)
    assert _get_crashes(first) == [True, False]


def test_crash_of_a_suspect_that_started_alone_is_evidence():
    """Guards against a killer that older runs of others excuse."""
    ledger = builders.make_ledger(workers=1)
    now = builders.NOW
    for _ in range(limits.MAX_SUSPECTED_CRASHES):
        now += 20.0
        (killer,), lifetime = _start_together(ledger, 'k', now)
        (run,) = ledger.workers[lifetime].runs
        other = work.Run(work.Item('other', 0, 0, 0), 1)
        crash = orders.Crash(lifetime, (run, other), (run,), (run, other))
        crashes.record_crash(now, WALL, ledger, crash)
        ledger.remove_lost_run(ledger.workers[lifetime], run, 'crashed')
        later = now + crash_watch.REVIEW_DELAY_S
        crashes.review_crashes(later, WALL, ledger)
    assert killer.progress.state is work.JobState.FAILED


@pytest.mark.parametrize('members', [1, 3])
def test_killer_in_a_gang_that_starts_without_others_is_given_up(members):
    """Guards against members of a gang that excuse each other."""
    ledger = builders.make_ledger(workers=1)
    step = builders.make_step(members, gang=True)
    job = builders.submit(ledger, 'gang', step)
    now = builders.NOW
    for _ in range(limits.MAX_SUSPECTED_CRASHES):
        assert not job.is_final()
        now += 20.0
        _, lifetime = _start_together(ledger, ['gang'], now)
        _crash_worker(ledger, lifetime, now)
    assert job.progress.state is work.JobState.FAILED


def test_other_work_is_not_put_off_by_a_stream_of_suspects():
    """Guards against a job that has nothing running while there is room.

    Suspects of crashes start every 2 s on the only worker, which keeps others
    off it.
    """
    ledger = builders.make_ledger(workers=1)
    (worker,) = ledger.workers.values()
    step = builders.make_step()
    job = builders.submit(ledger, 'waiting', step, priority=0)
    for tick in range(int(LONGEST_WAIT_S / 0.5)):
        now = builders.NOW + tick * 0.5
        if tick % 4 == 0:
            worker.last_suspect_start = now
        builders.decide(ledger, now)
    assert builders.list_runs(ledger, job)


def test_suspect_starts_apart_while_it_finds_room_for_that():
    """Guards against a crash that can't be attributed without need."""
    ledger = builders.make_ledger(workers=2)
    suspect = builders.submit(ledger, 'suspect', builders.make_step())
    unit = next(suspect.iterate_ready(builders.NOW, WALL))
    unit.get_progress().crashes[0] = {1: True}
    unit.get_progress().numbers[0] = 1
    now = builders.NOW + LONGEST_WAIT_S
    started, _ = ledger.workers.values()
    # The suspect would fit more tightly there.
    started.last_start = now
    started.free_capacity = work.Resources(4000, 4000, 2)
    builders.decide(ledger, now)
    assert builders.list_runs(ledger, suspect) == {0: 'w1'}
