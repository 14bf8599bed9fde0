"""Tests of who starts, who waits and who makes room under load."""

from __future__ import annotations

from damaskpin.coordinator import drafts
from damaskpin.model import work
from tests.test_coordinator import fleets

NOW = fleets.NOW


def test_urgent_burst_stops_others_only_within_the_guarantee():
    """A burst of urgent work beyond guarantees must not waste long runs."""
    book = fleets.make_book(workers=2)
    long = fleets.submit(book, 'long', fleets.make_step(2, 8, 30.0))
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    now = NOW + 20.0
    urgent = fleets.make_step(1, 8, 3.0)
    fleets.submit(book, 'urgent', urgent, priority=0, now=now)
    fleets.decide(book, now)
    assert fleets.list_stopped(book) == []
    fleets.decide(book, now, guarantee=8)
    assert fleets.list_stopped(book) == ['long']
    assert len(fleets.list_runs(book, long)) == 2


def test_saved_work_is_stopped_for_urgent_work_at_once():
    """Work with a checkpoint costs little to stop, so urgent work goes on."""
    book = fleets.make_book(workers=1)
    step = fleets.make_step(8, 1, 30.0, checkpoints=True)
    fleets.submit(book, 'saved', step)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    now = NOW + 20.0
    urgent = fleets.make_step(1, 4, 5.0)
    fleets.submit(book, 'urgent', urgent, priority=0, now=now)
    fleets.decide(book, now)
    assert fleets.list_stopped(book) == ['saved'] * 4


def test_urgent_work_with_time_left_does_not_waste_unsaved_work():
    """Unsaved work is stopped only when the objective is near."""
    book = fleets.make_book(workers=1)
    fleets.submit(book, 'unsaved', fleets.make_step(1, 8, 30.0))
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    now = NOW + 2.0
    urgent = fleets.make_step(1, 8, 8.0)
    fleets.submit(book, 'urgent', urgent, priority=0, now=now)
    fleets.decide(book, now)
    assert fleets.list_stopped(book) == []
    later = NOW + 3.0
    tight = fleets.make_step(1, 8, 8.0)
    book.jobs['urgent'].finish(work.JobState.CANCELED, 0.0)
    fleets.submit(book, 'tight', tight, priority=0, now=later - 7.6)
    fleets.decide(book, later)
    assert fleets.list_stopped(book) == ['unsaved']


def test_small_work_does_not_fill_the_room_of_a_waiting_large_unit():
    """Scattered small work must not starve a unit that needs a worker."""
    book = fleets.make_book(workers=1)
    small = fleets.make_step(8, 1, 10.0)
    first = fleets.submit(book, 'first', small, priority=2)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    large = fleets.submit(book, 'large', fleets.make_step(1, 8, 10.0))
    fleets.submit(book, 'more', fleets.make_step(4, 1, 30.0), priority=2)
    worker = next(iter(book.workers.values()))
    for run in list(worker.runs)[:4]:
        worker.remove_run(run)
        first.end_run(run, work.Ending.DONE, '', fleets.WALL)
    fleets.decide(book, NOW + 1.0)
    assert fleets.list_runs(book, book.jobs['more']) == {}
    for run in list(worker.runs):
        worker.remove_run(run)
        first.end_run(run, work.Ending.DONE, '', fleets.WALL)
    fleets.decide(book, NOW + 2.0)
    assert fleets.list_runs(book, large) == {0: 'w0'}


def test_short_work_uses_room_that_is_kept_for_later():
    """Room kept for a long wait is used by what ends before."""
    book = fleets.make_book(workers=1)
    fleets.submit(book, 'first', fleets.make_step(1, 6, 60.0))
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    fleets.submit(book, 'large', fleets.make_step(1, 8, 10.0))
    short = fleets.make_step(2, 1, 5.0)
    backfill = fleets.submit(book, 'short', short, priority=2)
    fleets.decide(book, NOW + 1.0)
    assert len(fleets.list_runs(book, backfill)) == 2


def test_gang_starts_whole_and_in_one_rack():
    """A gang on two racks takes several times as long."""
    book = fleets.make_book(workers=6, rack_size=3)
    fleets.submit(book, 'other', fleets.make_step(1, 8, 10.0))
    fleets.decide(book)
    step = fleets.make_step(3, 8, 10.0, gang=True, same_rack=True)
    gang = fleets.submit(book, 'gang', step)
    fleets.decide(book)
    runs = fleets.list_runs(book, gang)
    assert len(runs) == 3
    racks = {
        worker.profile.rack
        for worker in book.workers.values()
        if worker.lifetime.worker in runs.values()
    }
    assert len(racks) == 1


def test_gang_that_no_rack_holds_starts_on_several():
    """A gang that is larger than a rack must not wait for ever."""
    book = fleets.make_book(workers=6, rack_size=3)
    step = fleets.make_step(4, 8, 10.0, gang=True, same_rack=True)
    gang = fleets.submit(book, 'gang', step)
    fleets.decide(book)
    assert len(fleets.list_runs(book, gang)) == 4


def test_limit_for_each_worker_holds():
    """Work items that must be apart never share a worker."""
    book = fleets.make_book(workers=2)
    job = fleets.submit(book, 'apart', fleets.make_step(4, 1, per_worker=1))
    fleets.decide(book)
    assert sorted(fleets.list_runs(book, job).values()) == ['w0', 'w1']


def test_work_waits_for_its_data_while_that_ends_sooner():
    """Far from its data work takes three times as long."""
    book = fleets.make_book(workers=6, rack_size=3)
    fill = fleets.make_step(3, 8, 9.0, data_rack='r1')
    fleets.submit(book, 'fill', fill)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    step = fleets.make_step(1, 1, 5.0, data_rack='r1')
    near = fleets.submit(book, 'near', step)
    # 9 s of waiting and 5 s of work end sooner than 15 s far away.
    fleets.decide(book, NOW + 0.1)
    assert fleets.list_runs(book, near) == {}
    short = fleets.make_step(1, 1, 2.0, data_rack='r1')
    far = fleets.submit(book, 'far', short)
    fleets.decide(book, NOW + 0.2)
    assert fleets.list_runs(book, near) == {}
    assert fleets.list_runs(book, far) != {}


def test_urgent_gang_stops_others_in_a_rack_before_it_spreads():
    """A gang on several racks holds its workers three times as long."""
    book = fleets.make_book(workers=6, rack_size=3)
    for name in ('a', 'b'):
        step = fleets.make_step(1, 8, 60.0)
        fleets.submit(book, name, step, priority=2)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    workers = list(book.workers.values())
    fill = fleets.make_step(1, 8, 60.0, data_rack='r1')
    fleets.submit(book, 'c', fill, priority=2)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    assert sorted(w.profile.rack for w in workers if w.runs) == [
        'r0',
        'r0',
        'r1',
    ]
    gang = fleets.make_step(3, 8, 5.0, gang=True, same_rack=True)
    urgent = fleets.submit(book, 'urgent', gang, priority=0)
    fleets.decide(book, NOW + 1.0, guarantee=24)
    assert fleets.list_runs(book, urgent) == {}
    assert fleets.list_stopped(book) == ['c']


def test_guaranteed_gang_spreads_when_no_rack_is_free_in_time():
    """Guaranteed work must begin within its bound, at whatever speed."""
    book = fleets.make_book(workers=6, rack_size=3)
    for rack in ('r0', 'r1'):
        step = fleets.make_step(1, 8, 8.0, data_rack=rack)
        fleets.submit(book, f'of-{rack}', step, priority=0)
    fleets.decide(book, guarantee=40)
    fleets.begin_all(book, NOW)
    gang = fleets.make_step(3, 8, 5.0, gang=True, same_rack=True)
    job = fleets.submit(book, 'gang', gang, priority=0)
    fleets.decide(book, NOW + 0.5, guarantee=40)
    assert fleets.list_runs(book, job) == {}
    fleets.decide(book, NOW + 2.0, guarantee=40)
    assert len(fleets.list_runs(book, job)) == 3


def test_steps_wait_for_their_predecessors_and_due_times():
    """Work must not start before what it needs, or before its time."""
    book = fleets.make_book(workers=2)
    steps = (fleets.make_step(1), fleets.make_step(1, after=(0,)))
    schedule = work.Schedule(fleets.WALL + 5.0, 10.0, 2)
    job = fleets.submit(book, 'timed', *steps, schedule=schedule)
    fleets.decide(book, NOW + 4.9)
    assert fleets.list_runs(book, job) == {}
    fleets.decide(book, NOW + 5.1)
    assert len(fleets.list_runs(book, job)) == 1


def test_stop_of_one_member_counts_the_whole_gang():
    """Stopping one member of a large gang loses the work of all of them."""
    book = fleets.make_book(workers=4)
    gang = fleets.make_step(3, 8, 60.0, gang=True)
    fleets.submit(book, 'gang', gang, now=NOW - 1.0)
    fleets.submit(book, 'single', fleets.make_step(1, 8, 60.0))
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    urgent = fleets.make_step(1, 8, 8.0)
    now = NOW + 2.0
    fleets.submit(book, 'urgent', urgent, priority=0, now=now)
    fleets.decide(book, now, guarantee=8)
    assert fleets.list_stopped(book) == ['single']


def test_filling_work_keeps_away_from_work_with_a_latency_target():
    """Filling work beside serving work would break its latency target."""
    book = fleets.make_book(workers=2)
    serving = fleets.make_step(1, 1, lasting=True, latency_target=50)
    job = fleets.submit(book, 'serving', serving)
    fleets.decide(book)
    filling = fleets.make_step(4, 1, fills=True)
    other = fleets.submit(book, 'filling', filling)
    fleets.decide(book, NOW + 0.1)
    taken = set(fleets.list_runs(book, job).values())
    assert not taken & set(fleets.list_runs(book, other).values())
    assert len(fleets.list_runs(book, other)) == 4


def test_lasting_work_is_started_again_however_it_ends():
    """Work that lasts has no last attempt."""
    book = fleets.make_book(workers=2)
    job = fleets.submit(book, 'lasting', fleets.make_step(1, 1, lasting=True))
    for serial in range(1, 6):
        fleets.decide(book, NOW + serial)
        name = fleets.list_runs(book, job)[0]
        worker = next(
            w for w in book.workers.values() if w.lifetime.worker == name
        )
        ending = work.Ending.FAILED if serial % 2 else work.Ending.DONE
        row = work.EndedRun(serial, next(iter(worker.runs)), ending, '')
        book.end_run(NOW + serial, fleets.WALL, worker, row)
    assert job.progress.state is work.JobState.RUNNING
    fleets.decide(book, NOW + 20.0)
    assert list(fleets.list_runs(book, job)) == [0]


def test_gang_that_is_stopped_once_frees_all_its_workers():
    """A gang's loss that counts once a worker keeps urgent work waiting."""
    book = fleets.make_book(workers=2)
    gang = fleets.make_step(2, 8, 30.0, gang=True)
    fleets.submit(book, 'gang', gang, priority=2)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    now = NOW + 10.0
    # Half of its own work, 25 s on each worker, may be lost for it.
    urgent = fleets.make_step(2, 8, 25.0, gang=True)
    fleets.submit(book, 'urgent', urgent, priority=0, now=now - 25.0)
    fleets.decide(book, now)
    assert fleets.list_stopped(book) == ['gang', 'gang']


def test_guaranteed_work_takes_room_that_is_free_soon():
    """Reclaiming room at once wastes work that ends within the patience."""
    book = fleets.make_book(workers=2)
    fleets.submit(book, 'ending', fleets.make_step(1, 8, 10.0))
    fleets.submit(book, 'long', fleets.make_step(1, 8, 60.0), priority=2)
    fleets.decide(book)
    fleets.begin_all(book, NOW)
    now = NOW + 9.4
    for worker in book.workers.values():
        for placed in worker.runs.values():
            percent = 94.0 if placed.job.id == 'ending' else 15.0
            placed.note_listed(work.RunningRun(placed.run, '', percent), now)
    urgent = fleets.make_step(1, 8, 5.0)
    fleets.submit(book, 'urgent', urgent, priority=0, now=now)
    fleets.decide(book, now, guarantee=8)
    assert fleets.list_stopped(book) == []
    fleets.decide(book, now + 1.1, guarantee=8)
    assert len(fleets.list_stopped(book)) == 1


def test_large_gang_costs_one_look_at_each_worker(monkeypatch):
    """A look at all workers for each member starves a fleet of control."""
    book = fleets.make_book(workers=60)
    looks = []
    find_capacity = drafts.TentativePlan.find_capacity

    def count(tentative_plan, worker, demand):
        looks.append(worker)
        return find_capacity(tentative_plan, worker, demand)

    monkeypatch.setattr(drafts.TentativePlan, 'find_capacity', count)
    gang = fleets.make_step(40, 8, 10.0, gang=True)
    job = fleets.submit(book, 'gang', gang)
    fleets.decide(book)
    assert len(fleets.list_runs(book, job)) == 40
    assert len(looks) <= 60 + 40
