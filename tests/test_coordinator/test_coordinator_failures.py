"""Tests of work that fails, and of workers that fail it."""

from __future__ import annotations

from damaskpin.model import work
from tests.test_coordinator import fleets

NOW = fleets.NOW
FAILED = work.Ending.FAILED


def test_failed_unit_tries_another_worker():
    """A worker that fails everything must not use all attempts up."""
    book = fleets.make_book(workers=2)
    job = fleets.submit(book, 'job', fleets.make_step(1, 1))
    fleets.decide(book)
    first = fleets.list_runs(book, job)[0]
    worker = next(
        w for w in book.workers.values() if w.lifetime.worker == first
    )
    run = next(iter(worker.runs))
    row = work.EndedRun(1, run, work.Ending.FAILED, '')
    book.end_run(NOW, fleets.WALL, worker, row)
    fleets.decide(book, NOW + 0.1)
    assert fleets.list_runs(book, job)[0] != first


def _fail(book, job, now):
    """End all runs of a job as failed; returns their workers."""
    found = []
    for worker in book.workers.values():
        for run, placed in list(worker.runs.items()):
            if placed.job is not job:
                continue
            found.append(worker)
            row = work.EndedRun(worker.last_end_serial + 1, run, FAILED, '')
            worker.last_end_serial += 1
            book.end_run(now, fleets.WALL, worker, row)
    return found


def test_last_attempt_goes_to_a_worker_that_has_done_work_lately():
    """With two attempts, a second failing worker fails the whole job."""
    book = fleets.make_book(workers=4)
    job = fleets.submit(book, 'job', fleets.make_step(1, 1), attempts=2)
    fleets.decide(book)
    (failing,) = _fail(book, job, NOW)
    trusted = list(book.workers.values())[-1]
    assert trusted is not failing
    trusted.record_success(NOW)
    fleets.decide(book, NOW + 1.0)
    assert fleets.list_runs(book, job) == {0: trusted.lifetime.worker}


def test_worker_that_fails_run_after_run_gets_nothing_for_a_while():
    """A worker that fails at once is free at once and draws all work."""
    book = fleets.make_book(workers=2)
    job = fleets.submit(book, 'wide', fleets.make_step(8, 1), attempts=9)
    fleets.decide(book)
    failing = _fail(book, job, NOW)[0]
    assert failing.suspect_until > NOW
    fleets.decide(book, NOW + 0.5)
    names = set(fleets.list_runs(book, job).values())
    assert failing.lifetime.worker not in names


def test_job_that_fails_everywhere_makes_few_workers_suspect():
    """One hopeless job must not take all workers out of use."""
    book = fleets.make_book(workers=8)
    step = fleets.make_step(64, 1)
    job = fleets.submit(book, 'hopeless', step, attempts=99)
    fleets.decide(book)
    _fail(book, job, NOW)
    suspects = [w for w in book.workers.values() if w.suspect_until > NOW]
    assert 0 < len(suspects) <= 3
