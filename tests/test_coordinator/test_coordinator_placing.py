"""Tests of placement, waiting and preemption under load."""

from __future__ import annotations

from damaskpin.coordinator import tentative_plan
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW


def test_urgent_burst_preempts_others_only_within_the_guarantee():
    """Urgent work beyond its guarantee must not preempt long unsaved runs."""
    book = builders.make_book(workers=2)
    long_job = builders.submit(book, 'long', builders.make_step(2, 8, 30.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 20.0
    urgent = builders.make_step(1, 8, 3.0)
    builders.submit(book, 'urgent', urgent, priority=0, now=now)
    builders.decide(book, now)
    assert builders.list_stopping_jobs(book) == []
    builders.decide(book, now, guarantee=8)
    assert builders.list_stopping_jobs(book) == ['long']
    assert len(builders.list_runs(book, long_job)) == 2


def test_work_with_checkpoints_is_preempted_for_urgent_work_at_once():
    """Preempting work with checkpoints loses little, so urgent work starts."""
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


def test_urgent_work_with_slack_does_not_preempt_unsaved_work():
    """Unsaved work is preempted only shortly before the objective."""
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
    close_to_objective = builders.make_step(1, 8, 8.0)
    book.jobs['urgent'].finish(work.JobState.CANCELED, 0.0)
    builders.submit(
        book, 'tight', close_to_objective, priority=0, now=later - 7.6
    )
    builders.decide(book, later)
    assert builders.list_stopping_jobs(book) == ['unsaved']


def test_small_work_does_not_use_capacity_reserved_for_a_large_unit():
    """Small work items must not starve a unit that needs a whole worker."""
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


def test_short_work_is_backfilled_into_reserved_capacity():
    """Work that ends before a reservation starts may use its capacity."""
    book = builders.make_book(workers=1)
    builders.submit(book, 'first', builders.make_step(1, 6, 60.0))
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    builders.submit(book, 'large', builders.make_step(1, 8, 10.0))
    short = builders.make_step(2, 1, 5.0)
    short_job = builders.submit(book, 'short', short, priority=2)
    builders.decide(book, NOW + 1.0)
    assert len(builders.list_runs(book, short_job)) == 2


def test_gang_starts_whole_and_in_one_rack():
    """A gang on two racks takes several times as long as in one rack."""
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


def test_gang_larger_than_a_rack_starts_on_several_racks():
    """A gang that fits in no rack must not wait for ever."""
    book = builders.make_book(workers=6, rack_size=3)
    step = builders.make_step(4, 8, 10.0, gang=True, same_rack=True)
    gang = builders.submit(book, 'gang', step)
    builders.decide(book)
    assert len(builders.list_runs(book, gang)) == 4


def test_limit_of_work_items_per_worker_is_kept():
    """Work items limited to one per worker never share a worker."""
    book = builders.make_book(workers=2)
    job = builders.submit(
        book, 'apart', builders.make_step(4, 1, per_worker=1)
    )
    builders.decide(book)
    assert sorted(builders.list_runs(book, job).values()) == ['w0', 'w1']


def test_work_waits_for_the_rack_of_its_data_if_it_ends_sooner():
    """Work takes three times as long in another rack than its data."""
    book = builders.make_book(workers=6, rack_size=3)
    filler_step = builders.make_step(3, 8, 9.0, data_rack='r1')
    builders.submit(book, 'fill', filler_step)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    step = builders.make_step(1, 1, 5.0, data_rack='r1')
    local_job = builders.submit(book, 'near', step)
    # 9 s of waiting and 5 s of work end sooner than 15 s in another rack.
    builders.decide(book, NOW + 0.1)
    assert builders.list_runs(book, local_job) == {}
    short = builders.make_step(1, 1, 2.0, data_rack='r1')
    remote_job = builders.submit(book, 'far', short)
    builders.decide(book, NOW + 0.2)
    assert builders.list_runs(book, local_job) == {}
    assert builders.list_runs(book, remote_job) != {}


def test_urgent_gang_preempts_within_a_rack_before_using_several():
    """A gang on several racks occupies its workers three times as long."""
    book = builders.make_book(workers=6, rack_size=3)
    for name in ('a', 'b'):
        step = builders.make_step(1, 8, 60.0)
        builders.submit(book, name, step, priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    workers = list(book.workers.values())
    filler_step = builders.make_step(1, 8, 60.0, data_rack='r1')
    builders.submit(book, 'c', filler_step, priority=2)
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


def test_guaranteed_gang_uses_several_racks_to_start_in_time():
    """Guaranteed work must start within its bound, even at lower speed."""
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
    """Work must not start before its predecessors or its scheduled time."""
    book = builders.make_book(workers=2)
    steps = (builders.make_step(1), builders.make_step(1, after=(0,)))
    schedule = work.Schedule(builders.WALL + 5.0, 10.0, 2)
    job = builders.submit(book, 'timed', *steps, schedule=schedule)
    builders.decide(book, NOW + 4.9)
    assert builders.list_runs(book, job) == {}
    builders.decide(book, NOW + 5.1)
    assert len(builders.list_runs(book, job)) == 1


def test_preemption_cost_of_one_member_counts_the_whole_gang():
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


def test_filling_work_never_shares_a_worker_with_a_latency_target():
    """Filling work would make serving work miss its latency target."""
    book = builders.make_book(workers=2)
    serving = builders.make_step(1, 1, lasting=True, latency_target=50)
    job = builders.submit(book, 'serving', serving)
    builders.decide(book)
    filling = builders.make_step(4, 1, fills=True)
    other = builders.submit(book, 'filling', filling)
    builders.decide(book, NOW + 0.1)
    serving_workers = set(builders.list_runs(book, job).values())
    assert not serving_workers & set(builders.list_runs(book, other).values())
    assert len(builders.list_runs(book, other)) == 4


def test_lasting_work_is_restarted_after_each_end():
    """Lasting work is restarted after success and failure, without limit."""
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


def test_preempted_gang_frees_all_its_workers_at_one_cost():
    """The lost work of a gang is counted once, not once for each worker."""
    book = builders.make_book(workers=2)
    gang = builders.make_step(2, 8, 30.0, gang=True)
    builders.submit(book, 'gang', gang, priority=2)
    builders.decide(book)
    builders.report_all_runs_begun(book, NOW)
    now = NOW + 10.0
    # Preemption for the urgent gang may lose half of its own work of 25 s on
    # each worker.
    urgent = builders.make_step(2, 8, 25.0, gang=True)
    builders.submit(book, 'urgent', urgent, priority=0, now=now - 25.0)
    builders.decide(book, now)
    assert builders.list_stopping_jobs(book) == ['gang', 'gang']


def test_guaranteed_work_waits_for_capacity_that_is_free_soon():
    """Preempting at once would waste work that ends within the delay."""
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


def test_placing_a_large_gang_evaluates_each_worker_once(monkeypatch):
    """Evaluating all workers for each member would delay all decisions."""
    book = builders.make_book(workers=60)
    evaluated_workers = []
    find_capacity = tentative_plan.TentativePlan.find_capacity

    def count(tentative_plan, worker, demand):
        evaluated_workers.append(worker)
        return find_capacity(tentative_plan, worker, demand)

    monkeypatch.setattr(tentative_plan.TentativePlan, 'find_capacity', count)
    gang = builders.make_step(40, 8, 10.0, gang=True)
    job = builders.submit(book, 'gang', gang)
    builders.decide(book)
    assert len(builders.list_runs(book, job)) == 40
    assert len(evaluated_workers) <= 60 + 40
