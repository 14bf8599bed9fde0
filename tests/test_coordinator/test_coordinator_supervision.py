"""Tests of runs that stand still or crawl."""

from __future__ import annotations

from damaskpin.coordinator import supervision
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW


def _begin(book, job_id, count=1):
    builders.submit(book, job_id, builders.make_step(count, 1, 10.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)


def _list(book, now, percent):
    for worker in book.workers.values():
        worker.heard = now
        for placed in worker.runs.values():
            row = work.RunningRun(placed.run, '', percent)
            placed.note_listed(row, now)


def test_run_without_progress_is_moved():
    """Work on a hanging worker would wait for its lease, which is kept."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    _list(book, NOW + 1.0, 10.0)
    supervision.stop_stuck(NOW + 2.5, book)
    assert builders.list_stopping_jobs(book) == []
    _list(book, NOW + 3.4, 10.0)
    supervision.stop_stuck(NOW + 3.5, book)
    assert builders.list_stopping_jobs(book) == ['job']


def test_gang_has_time_to_gather():
    """A run that waits for the rest of its gang makes no progress yet."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    _list(book, NOW + 4.0, 0.0)
    supervision.stop_stuck(NOW + 4.0, book)
    assert builders.list_stopping_jobs(book) == []


def test_run_that_turns_slow_is_moved():
    """Work on a worker that turns slow ends sooner elsewhere."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    _list(book, NOW + 1.0, 5.0)
    _list(book, NOW + 3.1, 25.0)
    supervision.stop_stuck(NOW + 3.2, book)
    assert builders.list_stopping_jobs(book) == []
    _list(book, NOW + 5.2, 28.0)
    supervision.stop_stuck(NOW + 5.3, book)
    assert builders.list_stopping_jobs(book) == ['job']


def test_estimate_that_is_far_off_moves_nothing():
    """Declared run times are often wrong; a steady run is not slow."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    for second in range(1, 12):
        _list(book, NOW + second, 1.0 * second)
        supervision.stop_stuck(NOW + second, book)
    assert builders.list_stopping_jobs(book) == []


def test_steady_run_stays():
    """A run that goes as estimated is left alone."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    for second in range(1, 6):
        _list(book, NOW + second, 10.0 * second)
    supervision.stop_stuck(NOW + 5.1, book)
    assert builders.list_stopping_jobs(book) == []


def test_work_item_that_is_slow_everywhere_is_left_alone():
    """Each move loses the work done; an item may be slow by itself."""
    book = builders.make_book(workers=4)
    _begin(book, 'job')
    now = NOW
    for _ in range(6):
        for worker in list(book.workers.values()):
            for run, placed in list(worker.runs.items()):
                if placed.stop_reason:
                    row = work.EndedRun(
                        worker.last_end_serial + 1,
                        run,
                        work.Ending.STOPPED,
                        '',
                    )
                    book.end_run(now, builders.WALL, worker, row)
        now += 5.0
        builders.decide(book, now)
        builders.report_all_runs_begun(book, now)
        for percent in (5.0, 25.0, 27.0, 29.0):
            now += 2.1
            _list(book, now, percent)
            supervision.stop_stuck(now, book)
    item = work.Item('job', 0, 0, 0)
    numbers = book.jobs['job'].get_step_progress(0, 0).numbers
    assert numbers[item.index] == 3
    assert builders.list_stopping_jobs(book) == []


def _hang(book, since, until):
    """List the same progress for a while."""
    percent = next(
        placed.percent
        for worker in book.workers.values()
        for placed in worker.runs.values()
    )
    now = since
    while now < until:
        now += 0.5
        _list(book, now, percent)
    return now


def test_run_with_much_unsaved_work_outlasts_a_short_hang():
    """Stopping after 2 s throws work away that goes on 2 s later."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    for second in range(15):
        _list(book, NOW + second, float(second))
    now = _hang(book, NOW + 14.0, NOW + 18.5)
    supervision.stop_stuck(now, book)
    assert builders.list_stopping_jobs(book) == []
    (worker,) = [w for w in book.workers.values() if w.runs]
    assert worker.suspect_until > now
    now = _hang(book, now, NOW + 21.5)
    supervision.stop_stuck(now, book)
    assert builders.list_stopping_jobs(book) == ['job']


def test_saved_work_leaves_a_hanging_worker_at_once():
    """Work that is saved loses nothing by going elsewhere."""
    book = builders.make_book(workers=2)
    step = builders.make_step(1, 1, 10.0, checkpoints=True)
    builders.submit(book, 'job', step)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    for second in range(15):
        _list(book, NOW + second, float(second))
    now = _hang(book, NOW + 14.0, NOW + 16.5)
    supervision.stop_stuck(now, book)
    assert builders.list_stopping_jobs(book) == ['job']


def test_worker_is_not_suspected_for_the_rest_of_a_gang():
    """One hanging member made all workers of its gang unusable."""
    book = builders.make_book(workers=2)
    gang = builders.make_step(2, 5, 10.0, gang=True)
    builders.submit(book, 'gang', gang)
    builders.decide(book)
    builders.submit(book, 'other', builders.make_step(1, 1, 60.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    sound = None
    now = NOW
    for second in range(1, 9):
        now = NOW + second
        for worker in book.workers.values():
            worker.heard = now
            for placed in worker.runs.values():
                percent = min(10.0 * second, 20.0)
                if placed.job.id == 'other':
                    sound = worker
                    percent = float(second)
                row = work.RunningRun(placed.run, '', percent)
                placed.note_listed(row, now)
    supervision.stop_stuck(now, book)
    assert builders.list_stopping_jobs(book) == ['gang', 'gang']
    suspects = [w for w in book.workers.values() if w.suspect_until > now]
    assert sound not in suspects
    assert len(suspects) == 1


def test_time_without_lists_is_no_standstill():
    """An agent that is killed and restarts reports before it has lists."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    _list(book, NOW + 1.0, 10.0)
    for worker in book.workers.values():
        worker.heard = NOW + 4.0
    supervision.stop_stuck(NOW + 4.0, book)
    assert builders.list_stopping_jobs(book) == []
    assert all(w.suspect_until <= NOW for w in book.workers.values())
    _list(book, NOW + 4.2, 40.0)
    supervision.stop_stuck(NOW + 4.2, book)
    assert builders.list_stopping_jobs(book) == []


def test_hang_early_in_a_run_is_no_slow_run():
    """The rate of a run that stands still told of an endless rest at once."""
    book = builders.make_book(workers=2)
    _begin(book, 'job')
    for second in range(11):
        _list(book, NOW + second, 2.0 * second)
    now = _hang(book, NOW + 10.0, NOW + 14.0)
    supervision.stop_stuck(now, book)
    assert builders.list_stopping_jobs(book) == []
