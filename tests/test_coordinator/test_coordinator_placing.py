"""Tests of who starts, who waits and who makes room under load."""

from __future__ import annotations

from damaskpin.coordinator import tentative_plan
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW


def test_urgent_burst_stops_others_only_within_the_guarantee():
    """A burst of urgent work beyond guarantees must not waste long runs."""
    book = builders.make_book(workers=2)
    long = builders.submit(book, 'long', builders.make_step(2, 8, 30.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 20.0
    urgent = builders.make_step(1, 8, 3.0)
    builders.submit(book, 'urgent', urgent, priority=0, now=now)
    builders.decide(book, now)
    assert builders.list_stopping_jobs(book) == []
    builders.decide(book, now, guarantee=8)
    assert builders.list_stopping_jobs(book) == ['long']
    assert len(builders.list_runs(book, long)) == 2


def test_saved_work_is_stopped_for_urgent_work_at_once():
    """Work with a checkpoint costs little to stop, so urgent work goes on."""
    book = builders.make_book(workers=1)
    step = builders.make_step(8, 1, 30.0, checkpoints=True)
    builders.submit(book, 'saved', step)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 20.0
    urgent = builders.make_step(1, 4, 5.0)
    builders.submit(book, 'urgent', urgent, priority=0, now=now)
    builders.decide(book, now)
    assert builders.list_stopping_jobs(book) == ['saved'] * 4


def test_urgent_work_with_time_left_does_not_waste_unsaved_work():
    """Unsaved work is stopped only when the objective is near."""
    book = builders.make_book(workers=1)
    builders.submit(book, 'unsaved', builders.make_step(1, 8, 30.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 2.0
    urgent = builders.make_step(1, 8, 8.0)
    builders.submit(book, 'urgent', urgent, priority=0, now=now)
    builders.decide(book, now)
    assert builders.list_stopping_jobs(book) == []
    later = NOW + 3.0
    tight = builders.make_step(1, 8, 8.0)
    book.jobs['urgent'].finish(work.JobState.CANCELED, 0.0)
    builders.submit(book, 'tight', tight, priority=0, now=later - 7.6)
    builders.decide(book, later)
    assert builders.list_stopping_jobs(book) == ['unsaved']


def test_small_work_does_not_fill_the_room_of_a_waiting_large_unit():
    """Scattered small work must not starve a unit that needs a worker."""
    book = builders.make_book(workers=1)
    small = builders.make_step(8, 1, 10.0)
    first = builders.submit(book, 'first', small, priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    large = builders.submit(book, 'large', builders.make_step(1, 8, 10.0))
    builders.submit(book, 'more', builders.make_step(4, 1, 30.0), priority=2)
    worker = next(iter(book.workers.values()))
    for run in list(worker.runs)[:4]:
        worker.remove_run(run)
        first.end_run(run, work.Ending.DONE, '', builders.WALL)
    builders.decide(book, NOW + 1.0)
    assert builders.list_runs(book, book.jobs['more']) == {}
    for run in list(worker.runs):
        worker.remove_run(run)
        first.end_run(run, work.Ending.DONE, '', builders.WALL)
    builders.decide(book, NOW + 2.0)
    assert builders.list_runs(book, large) == {0: 'w0'}


def test_short_work_uses_room_that_is_kept_for_later():
    """Room kept for a long wait is used by what ends before."""
    book = builders.make_book(workers=1)
    builders.submit(book, 'first', builders.make_step(1, 6, 60.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    builders.submit(book, 'large', builders.make_step(1, 8, 10.0))
    short = builders.make_step(2, 1, 5.0)
    backfill = builders.submit(book, 'short', short, priority=2)
    builders.decide(book, NOW + 1.0)
    assert len(builders.list_runs(book, backfill)) == 2


def test_gang_starts_whole_and_in_one_rack():
    """A gang on two racks takes several times as long."""
    book = builders.make_book(workers=6, rack_size=3)
    builders.submit(book, 'other', builders.make_step(1, 8, 10.0))
    builders.decide(book)
    step = builders.make_step(3, 8, 10.0, gang=True, same_rack=True)
    gang = builders.submit(book, 'gang', step)
    builders.decide(book)
    runs = builders.list_runs(book, gang)
    assert len(runs) == 3
    racks = {
        worker.profile.rack
        for worker in book.workers.values()
        if worker.lifetime.worker in runs.values()
    }
    assert len(racks) == 1


def test_gang_that_no_rack_holds_starts_on_several():
    """A gang that is larger than a rack must not wait for ever."""
    book = builders.make_book(workers=6, rack_size=3)
    step = builders.make_step(4, 8, 10.0, gang=True, same_rack=True)
    gang = builders.submit(book, 'gang', step)
    builders.decide(book)
    assert len(builders.list_runs(book, gang)) == 4


def test_limit_for_each_worker_holds():
    """Work items that must be apart never share a worker."""
    book = builders.make_book(workers=2)
    job = builders.submit(
        book, 'apart', builders.make_step(4, 1, per_worker=1)
    )
    builders.decide(book)
    assert sorted(builders.list_runs(book, job).values()) == ['w0', 'w1']


def test_work_waits_for_its_data_while_that_ends_sooner():
    """Far from its data work takes three times as long."""
    book = builders.make_book(workers=6, rack_size=3)
    fill = builders.make_step(3, 8, 9.0, data_rack='r1')
    builders.submit(book, 'fill', fill)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    step = builders.make_step(1, 1, 5.0, data_rack='r1')
    near = builders.submit(book, 'near', step)
    # 9 s of waiting and 5 s of work end sooner than 15 s far away.
    builders.decide(book, NOW + 0.1)
    assert builders.list_runs(book, near) == {}
    short = builders.make_step(1, 1, 2.0, data_rack='r1')
    far = builders.submit(book, 'far', short)
    builders.decide(book, NOW + 0.2)
    assert builders.list_runs(book, near) == {}
    assert builders.list_runs(book, far) != {}


def test_urgent_gang_stops_others_in_a_rack_before_it_spreads():
    """A gang on several racks holds its workers three times as long."""
    book = builders.make_book(workers=6, rack_size=3)
    for name in ('a', 'b'):
        step = builders.make_step(1, 8, 60.0)
        builders.submit(book, name, step, priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    workers = list(book.workers.values())
    fill = builders.make_step(1, 8, 60.0, data_rack='r1')
    builders.submit(book, 'c', fill, priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    assert sorted(w.profile.rack for w in workers if w.runs) == [
        'r0',
        'r0',
        'r1',
    ]
    gang = builders.make_step(3, 8, 5.0, gang=True, same_rack=True)
    urgent = builders.submit(book, 'urgent', gang, priority=0)
    builders.decide(book, NOW + 1.0, guarantee=24)
    assert builders.list_runs(book, urgent) == {}
    assert builders.list_stopping_jobs(book) == ['c']


def test_guaranteed_gang_spreads_when_no_rack_is_free_in_time():
    """Guaranteed work must begin within its bound, at whatever speed."""
    book = builders.make_book(workers=6, rack_size=3)
    for rack in ('r0', 'r1'):
        step = builders.make_step(1, 8, 8.0, data_rack=rack)
        builders.submit(book, f'of-{rack}', step, priority=0)
    builders.decide(book, guarantee=40)
    builders.report_all_runs_begun(book, NOW)
    gang = builders.make_step(3, 8, 5.0, gang=True, same_rack=True)
    job = builders.submit(book, 'gang', gang, priority=0)
    builders.decide(book, NOW + 0.5, guarantee=40)
    assert builders.list_runs(book, job) == {}
    builders.decide(book, NOW + 2.0, guarantee=40)
    assert len(builders.list_runs(book, job)) == 3


def test_steps_wait_for_their_predecessors_and_due_times():
    """Work must not start before what it needs, or before its time."""
    book = builders.make_book(workers=2)
    steps = (builders.make_step(1), builders.make_step(1, after=(0,)))
    schedule = work.Schedule(builders.WALL + 5.0, 10.0, 2)
    job = builders.submit(book, 'timed', *steps, schedule=schedule)
    builders.decide(book, NOW + 4.9)
    assert builders.list_runs(book, job) == {}
    builders.decide(book, NOW + 5.1)
    assert len(builders.list_runs(book, job)) == 1


def test_stop_of_one_member_counts_the_whole_gang():
    """Stopping one member of a large gang loses the work of all of them."""
    book = builders.make_book(workers=4)
    gang = builders.make_step(3, 8, 60.0, gang=True)
    builders.submit(book, 'gang', gang, now=NOW - 1.0)
    builders.submit(book, 'single', builders.make_step(1, 8, 60.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    urgent = builders.make_step(1, 8, 8.0)
    now = NOW + 2.0
    builders.submit(book, 'urgent', urgent, priority=0, now=now)
    builders.decide(book, now, guarantee=8)
    assert builders.list_stopping_jobs(book) == ['single']


def test_filling_work_keeps_away_from_work_with_a_latency_target():
    """Filling work beside serving work would break its latency target."""
    book = builders.make_book(workers=2)
    serving = builders.make_step(1, 1, lasting=True, latency_target=50)
    job = builders.submit(book, 'serving', serving)
    builders.decide(book)
    filling = builders.make_step(4, 1, fills=True)
    other = builders.submit(book, 'filling', filling)
    builders.decide(book, NOW + 0.1)
    taken = set(builders.list_runs(book, job).values())
    assert not taken & set(builders.list_runs(book, other).values())
    assert len(builders.list_runs(book, other)) == 4


def test_lasting_work_is_started_again_however_it_ends():
    """Work that lasts has no last attempt."""
    book = builders.make_book(workers=2)
    job = builders.submit(
        book, 'lasting', builders.make_step(1, 1, lasting=True)
    )
    for serial in range(1, 6):
        builders.decide(book, NOW + serial)
        name = builders.list_runs(book, job)[0]
        worker = next(
            w for w in book.workers.values() if w.lifetime.worker == name
        )
        ending = work.Ending.FAILED if serial % 2 else work.Ending.DONE
        row = work.EndedRun(serial, next(iter(worker.runs)), ending, '')
        book.end_run(NOW + serial, builders.WALL, worker, row)
    assert job.progress.state is work.JobState.RUNNING
    builders.decide(book, NOW + 20.0)
    assert list(builders.list_runs(book, job)) == [0]


def test_gang_that_is_stopped_once_frees_all_its_workers():
    """A gang's loss that counts once a worker keeps urgent work waiting."""
    book = builders.make_book(workers=2)
    gang = builders.make_step(2, 8, 30.0, gang=True)
    builders.submit(book, 'gang', gang, priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 10.0
    # Half of its own work, 25 s on each worker, may be lost for it.
    urgent = builders.make_step(2, 8, 25.0, gang=True)
    builders.submit(book, 'urgent', urgent, priority=0, now=now - 25.0)
    builders.decide(book, now)
    assert builders.list_stopping_jobs(book) == ['gang', 'gang']


def test_guaranteed_work_takes_room_that_is_free_soon():
    """Reclaiming room at once wastes work that ends within the patience."""
    book = builders.make_book(workers=2)
    builders.submit(book, 'ending', builders.make_step(1, 8, 10.0))
    builders.submit(book, 'long', builders.make_step(1, 8, 60.0), priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 9.4
    for worker in book.workers.values():
        for placed in worker.runs.values():
            percent = 94.0 if placed.job.id == 'ending' else 15.0
            placed.note_listed(work.RunningRun(placed.run, '', percent), now)
    urgent = builders.make_step(1, 8, 5.0)
    builders.submit(book, 'urgent', urgent, priority=0, now=now)
    builders.decide(book, now, guarantee=8)
    assert builders.list_stopping_jobs(book) == []
    builders.decide(book, now + 1.1, guarantee=8)
    assert len(builders.list_stopping_jobs(book)) == 1


def test_large_gang_costs_one_look_at_each_worker(monkeypatch):
    """A look at all workers for each member starves a fleet of control."""
    book = builders.make_book(workers=60)
    looks = []
    find_capacity = tentative_plan.TentativePlan.find_capacity

    def count(tentative_plan, worker, demand):
        looks.append(worker)
        return find_capacity(tentative_plan, worker, demand)

    monkeypatch.setattr(tentative_plan.TentativePlan, 'find_capacity', count)
    gang = builders.make_step(40, 8, 10.0, gang=True)
    job = builders.submit(book, 'gang', gang)
    builders.decide(book)
    assert len(builders.list_runs(book, job)) == 40
    assert len(looks) <= 60 + 40
