"""Tests of runs that stand still or crawl."""

from __future__ import annotations

from damaskpin.coordinator import supervision
from damaskpin.model import work
from tests.test_coordinator import fleets

NOW = fleets.NOW


def _begin(book, job_id, count=1):
    fleets.submit(book, job_id, fleets.make_step(count, 1, 10.0))
    fleets.decide(book)
    fleets.begin_all(book, NOW)


def _list(book, now, percent):
    for worker in book.workers.values():
        worker.heard = now
        for placed in worker.runs.values():
            row = work.RunningRun(placed.run, '', percent)
            placed.note_listed(row, now)


def test_run_without_progress_is_moved():
    """Work on a hanging worker would wait for its lease, which is kept."""
    book = fleets.make_book(workers=2)
    _begin(book, 'job')
    _list(book, NOW + 1.0, 10.0)
    supervision.stop_stuck(NOW + 2.5, book)
    assert fleets.list_stopped(book) == []
    _list(book, NOW + 3.4, 10.0)
    supervision.stop_stuck(NOW + 3.5, book)
    assert fleets.list_stopped(book) == ['job']


def test_gang_has_time_to_gather():
    """A run that waits for the rest of its gang makes no progress yet."""
    book = fleets.make_book(workers=2)
    _begin(book, 'job')
    supervision.stop_stuck(NOW + 4.0, book)
    assert fleets.list_stopped(book) == []


def test_run_that_turns_slow_is_moved():
    """Work on a worker that turns slow ends sooner elsewhere."""
    book = fleets.make_book(workers=2)
    _begin(book, 'job')
    _list(book, NOW + 1.0, 5.0)
    _list(book, NOW + 3.1, 25.0)
    supervision.stop_stuck(NOW + 3.2, book)
    assert fleets.list_stopped(book) == []
    _list(book, NOW + 5.2, 28.0)
    supervision.stop_stuck(NOW + 5.3, book)
    assert fleets.list_stopped(book) == ['job']


def test_estimate_that_is_far_off_moves_nothing():
    """Declared run times are often wrong; a steady run is not slow."""
    book = fleets.make_book(workers=2)
    _begin(book, 'job')
    for second in range(1, 12):
        _list(book, NOW + second, 1.0 * second)
        supervision.stop_stuck(NOW + second, book)
    assert fleets.list_stopped(book) == []


def test_steady_run_stays():
    """A run that goes as estimated is left alone."""
    book = fleets.make_book(workers=2)
    _begin(book, 'job')
    for second in range(1, 6):
        _list(book, NOW + second, 10.0 * second)
    supervision.stop_stuck(NOW + 5.1, book)
    assert fleets.list_stopped(book) == []


def test_work_item_that_is_slow_everywhere_is_left_alone():
    """Each move loses the work done; an item may be slow by itself."""
    book = fleets.make_book(workers=4)
    _begin(book, 'job')
    now = NOW
    for _ in range(6):
        for worker in list(book.workers.values()):
            for run, placed in list(worker.runs.items()):
                if placed.stop_reason:
                    row = work.EndedRun(
                        worker.seen_serial + 1, run, work.Ending.STOPPED, ''
                    )
                    book.end_run(now, fleets.WALL, worker, row)
        now += 5.0
        fleets.decide(book, now)
        fleets.begin_all(book, now)
        for percent in (5.0, 25.0, 27.0, 29.0):
            now += 2.1
            _list(book, now, percent)
            supervision.stop_stuck(now, book)
    item = work.Item('job', 0, 0, 0)
    numbers = book.jobs['job'].get_step(0, 0).numbers
    assert numbers[item.index] == 3
    assert fleets.list_stopped(book) == []
