"""Tests of the supervision of stalled and slow runs."""

from __future__ import annotations

from damaskpin.coordinator import ends
from damaskpin.coordinator import supervision
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW


def _submit_and_begin(ledger, job_id, count=1):
    builders.submit(ledger, job_id, builders.make_step(count, 1, 10.0))
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)


def _report_progress(ledger, now, percent):
    for worker in ledger.workers.values():
        worker.last_report_time = now
        for placed in worker.runs.values():
            row = work.RunningRun(placed.run, '', percent)
            placed.update_from_list(row, now)


def test_run_without_progress_is_moved():
    """A hanging worker keeps its lease, so its runs would wait without end."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    _report_progress(ledger, NOW + 1.0, 10.0)
    supervision.stop_faulty_runs(NOW + 2.5, ledger)
    assert builders.list_stopping_jobs(ledger) == []
    _report_progress(ledger, NOW + 3.4, 10.0)
    supervision.stop_faulty_runs(NOW + 3.5, ledger)
    assert builders.list_stopping_jobs(ledger) == ['job']


def test_gang_has_time_to_start_all_members():
    """A run that waits for other members of its gang has no progress yet."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    _report_progress(ledger, NOW + 4.0, 0.0)
    supervision.stop_faulty_runs(NOW + 4.0, ledger)
    assert builders.list_stopping_jobs(ledger) == []


def test_run_that_becomes_slow_is_moved():
    """Work on a worker that becomes slow ends sooner on another worker."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    _report_progress(ledger, NOW + 1.0, 5.0)
    _report_progress(ledger, NOW + 3.1, 25.0)
    supervision.stop_faulty_runs(NOW + 3.2, ledger)
    assert builders.list_stopping_jobs(ledger) == []
    _report_progress(ledger, NOW + 5.2, 28.0)
    supervision.stop_faulty_runs(NOW + 5.3, ledger)
    assert builders.list_stopping_jobs(ledger) == ['job']


def test_wrong_estimate_does_not_move_a_steady_run():
    """Declared run times are often wrong, so a steady run is not slow."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    for second in range(1, 12):
        _report_progress(ledger, NOW + second, 1.0 * second)
        supervision.stop_faulty_runs(NOW + second, ledger)
    assert builders.list_stopping_jobs(ledger) == []


def test_run_at_its_estimated_rate_is_not_moved():
    """A run that keeps to its estimate must not be stopped."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    for second in range(1, 6):
        _report_progress(ledger, NOW + second, 10.0 * second)
    supervision.stop_faulty_runs(NOW + 5.1, ledger)
    assert builders.list_stopping_jobs(ledger) == []


def test_work_item_that_is_slow_on_all_workers_is_no_longer_moved():
    """Each move loses work, and the item itself may be the slow part."""
    ledger = builders.make_ledger(workers=4)
    _submit_and_begin(ledger, 'job')
    now = NOW
    for _ in range(6):
        for worker in list(ledger.workers.values()):
            for run, placed in list(worker.runs.items()):
                if placed.stop_reason:
                    row = work.EndedRun(
                        worker.last_end_serial + 1,
                        run,
                        work.Ending.STOPPED,
                        '',
                    )
                    ends.record_end(now, builders.WALL, ledger, worker, row)
        now += 5.0
        builders.decide(ledger, now)
        builders.report_all_runs_begun(ledger, now)
        for percent in (5.0, 25.0, 27.0, 29.0):
            now += 2.1
            _report_progress(ledger, now, percent)
            supervision.stop_faulty_runs(now, ledger)
    item = work.Item('job', 0, 0, 0)
    numbers = ledger.jobs['job'].get_step_progress(0, 0).numbers
    assert numbers[item.index] == 3
    assert builders.list_stopping_jobs(ledger) == []


def _report_unchanged_progress(ledger, since, until):
    """Report unchanged progress until a time, and return that time."""
    percent = next(
        placed.percent
        for worker in ledger.workers.values()
        for placed in worker.runs.values()
    )
    now = since
    while now < until:
        now += 0.5
        _report_progress(ledger, now, percent)
    return now


def test_run_with_much_unsaved_work_is_not_stopped_for_a_short_hang():
    """Stopping after 2 s would lose work that continues 2 s later."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    for second in range(15):
        _report_progress(ledger, NOW + second, float(second))
    now = _report_unchanged_progress(ledger, NOW + 14.0, NOW + 18.5)
    supervision.stop_faulty_runs(now, ledger)
    assert builders.list_stopping_jobs(ledger) == []
    (worker,) = [w for w in ledger.workers.values() if w.runs]
    assert worker.suspect_until > now
    now = _report_unchanged_progress(ledger, now, NOW + 21.5)
    supervision.stop_faulty_runs(now, ledger)
    assert builders.list_stopping_jobs(ledger) == ['job']


def test_run_with_checkpoints_leaves_a_hanging_worker_at_once():
    """Work with checkpoints loses nothing when it is moved."""
    ledger = builders.make_ledger(workers=2)
    step = builders.make_step(1, 1, 10.0, checkpoints=True)
    builders.submit(ledger, 'job', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    for second in range(15):
        _report_progress(ledger, NOW + second, float(second))
    now = _report_unchanged_progress(ledger, NOW + 14.0, NOW + 16.5)
    supervision.stop_faulty_runs(now, ledger)
    assert builders.list_stopping_jobs(ledger) == ['job']


def test_worker_is_not_suspected_for_a_stall_elsewhere_in_a_gang():
    """One hanging member must not make all workers of its gang suspect."""
    ledger = builders.make_ledger(workers=2)
    gang = builders.make_step(2, 5, 10.0, gang=True)
    builders.submit(ledger, 'gang', gang)
    builders.decide(ledger)
    builders.submit(ledger, 'other', builders.make_step(1, 1, 60.0))
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    healthy_worker = None
    now = NOW
    for second in range(1, 9):
        now = NOW + second
        for worker in ledger.workers.values():
            worker.last_report_time = now
            for placed in worker.runs.values():
                percent = min(10.0 * second, 20.0)
                if placed.job.id == 'other':
                    healthy_worker = worker
                    percent = float(second)
                row = work.RunningRun(placed.run, '', percent)
                placed.update_from_list(row, now)
    supervision.stop_faulty_runs(now, ledger)
    assert builders.list_stopping_jobs(ledger) == ['gang', 'gang']
    suspects = [w for w in ledger.workers.values() if w.suspect_until > now]
    assert healthy_worker not in suspects
    assert len(suspects) == 1


def test_time_without_run_lists_does_not_count_as_a_stall():
    """A restarted agent sends reports before it has run lists."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    _report_progress(ledger, NOW + 1.0, 10.0)
    for worker in ledger.workers.values():
        worker.last_report_time = NOW + 4.0
    supervision.stop_faulty_runs(NOW + 4.0, ledger)
    assert builders.list_stopping_jobs(ledger) == []
    assert all(w.suspect_until <= NOW for w in ledger.workers.values())
    _report_progress(ledger, NOW + 4.2, 40.0)
    supervision.stop_faulty_runs(NOW + 4.2, ledger)
    assert builders.list_stopping_jobs(ledger) == []


def test_early_hang_does_not_count_as_a_slow_run():
    """A stalled run has a rate near zero, which must not count as slow."""
    ledger = builders.make_ledger(workers=2)
    _submit_and_begin(ledger, 'job')
    for second in range(11):
        _report_progress(ledger, NOW + second, 2.0 * second)
    now = _report_unchanged_progress(ledger, NOW + 10.0, NOW + 14.0)
    supervision.stop_faulty_runs(now, ledger)
    assert builders.list_stopping_jobs(ledger) == []


def _stall_member(ledger, now, stalled):
    """Let a running gang work, and then one member stall first.

    :param stalled: index of the member.
    :returns: the time at which that member was to be stopped.
    """
    builders.report_all_runs_begun(ledger, now)
    for step in range(6):
        now += 1.0
        for worker in ledger.workers.values():
            worker.last_report_time = now
            for placed in worker.runs.values():
                is_stalled = placed.run.item.index == stalled
                percent = 5.0 if is_stalled else 5.0 + step
                row = work.RunningRun(placed.run, '', percent)
                placed.update_from_list(row, now)
        supervision.stop_faulty_runs(now, ledger)
    return now


def test_gang_of_which_other_members_stall_is_no_longer_moved():
    """Guards against a gang that is stopped without end for its own stalls.

    A gang is moved as a whole, whichever member stalls first.
    """
    ledger = builders.make_ledger(workers=4)
    step = builders.make_step(4, 8, 10.0, gang=True)
    job = builders.submit(ledger, 'job', step)
    now = NOW
    for stalled in (0, 1, 2, 3):
        builders.decide(ledger, now)
        now = _stall_member(ledger, now, stalled) + 10.0
        _end_stopped_runs(ledger, now)
    assert job.get_step_progress(0, 0).numbers == {0: 3}
    assert builders.list_runs(ledger, job)


def test_members_that_stall_together_are_one_move():
    """Guards against a gang that is no longer moved after one move."""
    ledger = builders.make_ledger(workers=4)
    step = builders.make_step(2, 8, 10.0, gang=True)
    job = builders.submit(ledger, 'job', step)
    _stall_again_and_again(ledger)
    assert job.get_step_progress(0, 0).numbers == {0: 3}


def test_workers_are_not_suspect_for_work_that_is_no_longer_moved():
    """Guards against sound workers that get no work as long as a job hangs.

    Work that has stalled on several workers is probably the cause itself.
    """
    ledger = builders.make_ledger(workers=4)
    _submit_and_begin(ledger, 'job')
    now = _stall_again_and_again(ledger)
    (worker,) = [w for w in ledger.workers.values() if w.runs]
    _report_progress(ledger, now, 10.0)
    supervision.stop_faulty_runs(now, ledger)
    assert worker.suspect_until <= now


def _stall_again_and_again(ledger):
    """Let all runs stall three times; return the time in seconds after it."""
    now = NOW
    for _ in range(3):
        builders.decide(ledger, now)
        builders.report_all_runs_begun(ledger, now)
        _report_progress(ledger, now + 1.0, 10.0)
        now += 5.0
        _report_progress(ledger, now, 10.0)
        supervision.stop_faulty_runs(now, ledger)
        now += 10.0
        _end_stopped_runs(ledger, now)
    return now


def _end_stopped_runs(ledger, now):
    for worker in ledger.workers.values():
        for run, placed in list(worker.runs.items()):
            if not placed.stop_reason:
                continue
            worker.last_end_serial += 1
            row = work.EndedRun(
                worker.last_end_serial, run, work.Ending.STOPPED, ''
            )
            ends.record_end(now, builders.WALL, ledger, worker, row)
