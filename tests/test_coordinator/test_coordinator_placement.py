"""Tests of placement, waiting and preemption under load."""

from __future__ import annotations

from damaskpin.coordinator import ends
from damaskpin.coordinator import outcomes
from damaskpin.coordinator import tentative_plan
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW


def test_urgent_burst_preempts_others_only_within_the_guarantee():
    """Urgent work beyond its guarantee must not preempt long unsaved runs."""
    ledger = builders.make_ledger(workers=2)
    long_job = builders.submit(ledger, 'long', builders.make_step(2, 8, 30.0))
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    now = NOW + 20.0
    urgent = builders.make_step(1, 8, 3.0)
    builders.submit(ledger, 'urgent', urgent, priority=0, now=now)
    builders.decide(ledger, now)
    assert builders.list_stopping_jobs(ledger) == []
    builders.decide(ledger, now, guarantee=8)
    assert builders.list_stopping_jobs(ledger) == ['long']
    assert len(builders.list_runs(ledger, long_job)) == 2


def test_work_with_checkpoints_is_preempted_for_urgent_work_at_once():
    """Preempting work with checkpoints loses little, so urgent work starts."""
    ledger = builders.make_ledger(workers=1)
    step = builders.make_step(8, 1, 30.0, checkpoints=True)
    builders.submit(ledger, 'saved', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    now = NOW + 20.0
    urgent = builders.make_step(1, 4, 5.0)
    builders.submit(ledger, 'urgent', urgent, priority=0, now=now)
    builders.decide(ledger, now)
    assert builders.list_stopping_jobs(ledger) == ['saved'] * 4


def test_urgent_work_with_slack_does_not_preempt_unsaved_work():
    """Unsaved work is preempted only shortly before the objective."""
    ledger = builders.make_ledger(workers=1)
    builders.submit(ledger, 'unsaved', builders.make_step(1, 8, 30.0))
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    now = NOW + 2.0
    urgent = builders.make_step(1, 8, 8.0)
    builders.submit(ledger, 'urgent', urgent, priority=0, now=now)
    builders.decide(ledger, now)
    assert builders.list_stopping_jobs(ledger) == []
    later = NOW + 3.0
    close_to_objective = builders.make_step(1, 8, 8.0)
    ledger.jobs['urgent'].finish(work.JobState.CANCELED, 0.0)
    builders.submit(
        ledger, 'tight', close_to_objective, priority=0, now=later - 7.6
    )
    builders.decide(ledger, later)
    assert builders.list_stopping_jobs(ledger) == ['unsaved']


def test_small_work_does_not_use_capacity_reserved_for_a_large_unit():
    """Small work items must not starve a unit that needs a whole worker."""
    ledger = builders.make_ledger(workers=1)
    small = builders.make_step(8, 1, 10.0)
    first = builders.submit(ledger, 'first', small, priority=2)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    large = builders.submit(ledger, 'large', builders.make_step(1, 8, 10.0))
    builders.submit(ledger, 'more', builders.make_step(4, 1, 30.0), priority=2)
    worker = next(iter(ledger.workers.values()))
    for run in list(worker.runs)[:4]:
        worker.remove_run(run)
        outcomes.apply_end(first, run, work.Ending.DONE, '', builders.WALL)
    builders.decide(ledger, NOW + 1.0)
    assert builders.list_runs(ledger, ledger.jobs['more']) == {}
    for run in list(worker.runs):
        worker.remove_run(run)
        outcomes.apply_end(first, run, work.Ending.DONE, '', builders.WALL)
    builders.decide(ledger, NOW + 2.0)
    assert builders.list_runs(ledger, large) == {0: 'w0'}


def test_short_work_is_backfilled_into_reserved_capacity():
    """Work that ends before a reservation starts may use its capacity."""
    ledger = builders.make_ledger(workers=1)
    builders.submit(ledger, 'first', builders.make_step(1, 6, 60.0))
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    builders.submit(ledger, 'large', builders.make_step(1, 8, 10.0))
    short = builders.make_step(2, 1, 5.0)
    short_job = builders.submit(ledger, 'short', short, priority=2)
    builders.decide(ledger, NOW + 1.0)
    assert len(builders.list_runs(ledger, short_job)) == 2


def test_gang_starts_whole_and_in_one_rack():
    """A gang on two racks takes several times as long as in one rack."""
    ledger = builders.make_ledger(workers=6, rack_size=3)
    builders.submit(ledger, 'other', builders.make_step(1, 8, 10.0))
    builders.decide(ledger)
    step = builders.make_step(3, 8, 10.0, gang=True, same_rack=True)
    gang = builders.submit(ledger, 'gang', step)
    builders.decide(ledger)
    runs = builders.list_runs(ledger, gang)
    assert len(runs) == 3
    racks = {
        worker.profile.rack
        for worker in ledger.workers.values()
        if worker.lifetime.worker in runs.values()
    }
    assert len(racks) == 1


def test_gang_larger_than_a_rack_starts_on_several_racks():
    """A gang that fits in no rack must not wait for ever."""
    ledger = builders.make_ledger(workers=6, rack_size=3)
    step = builders.make_step(4, 8, 10.0, gang=True, same_rack=True)
    gang = builders.submit(ledger, 'gang', step)
    builders.decide(ledger)
    assert len(builders.list_runs(ledger, gang)) == 4


def test_limit_of_work_items_per_worker_is_kept():
    """Work items limited to one per worker never share a worker."""
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(
        ledger, 'apart', builders.make_step(4, 1, per_worker=1)
    )
    builders.decide(ledger)
    assert sorted(builders.list_runs(ledger, job).values()) == ['w0', 'w1']


def test_work_waits_for_the_rack_of_its_data_if_it_ends_sooner():
    """Work takes three times as long in another rack than its data."""
    ledger = builders.make_ledger(workers=6, rack_size=3)
    filler_step = builders.make_step(3, 8, 9.0, data_rack='r1')
    builders.submit(ledger, 'fill', filler_step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    step = builders.make_step(1, 1, 5.0, data_rack='r1')
    local_job = builders.submit(ledger, 'near', step)
    # 9 s of waiting and 5 s of work end sooner than 15 s in another rack.
    builders.decide(ledger, NOW + 0.1)
    assert builders.list_runs(ledger, local_job) == {}
    short = builders.make_step(1, 1, 2.0, data_rack='r1')
    remote_job = builders.submit(ledger, 'far', short)
    builders.decide(ledger, NOW + 0.2)
    assert builders.list_runs(ledger, local_job) == {}
    assert builders.list_runs(ledger, remote_job) != {}


def test_urgent_gang_preempts_within_a_rack_before_using_several():
    """A gang on several racks occupies its workers three times as long."""
    ledger = builders.make_ledger(workers=6, rack_size=3)
    for name in ('a', 'b'):
        step = builders.make_step(1, 8, 60.0)
        builders.submit(ledger, name, step, priority=2)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    workers = list(ledger.workers.values())
    filler_step = builders.make_step(1, 8, 60.0, data_rack='r1')
    builders.submit(ledger, 'c', filler_step, priority=2)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    assert sorted(w.profile.rack for w in workers if w.runs) == [
        'r0',
        'r0',
        'r1',
    ]
    gang = builders.make_step(3, 8, 5.0, gang=True, same_rack=True)
    urgent = builders.submit(ledger, 'urgent', gang, priority=0)
    builders.decide(ledger, NOW + 1.0, guarantee=24)
    assert builders.list_runs(ledger, urgent) == {}
    assert builders.list_stopping_jobs(ledger) == ['c']


def test_guaranteed_gang_uses_several_racks_to_start_in_time():
    """Guaranteed work must start within a time limit, even if it is slower."""
    ledger = builders.make_ledger(workers=6, rack_size=3)
    for rack in ('r0', 'r1'):
        step = builders.make_step(1, 8, 8.0, data_rack=rack)
        builders.submit(ledger, f'of-{rack}', step, priority=0)
    builders.decide(ledger, guarantee=40)
    builders.report_all_runs_begun(ledger, NOW)
    gang = builders.make_step(3, 8, 5.0, gang=True, same_rack=True)
    job = builders.submit(ledger, 'gang', gang, priority=0)
    builders.decide(ledger, NOW + 0.5, guarantee=40)
    assert builders.list_runs(ledger, job) == {}
    builders.decide(ledger, NOW + 2.0, guarantee=40)
    assert len(builders.list_runs(ledger, job)) == 3


def test_steps_wait_for_their_predecessors_and_due_times():
    """Work must not start before its predecessors or its scheduled time."""
    ledger = builders.make_ledger(workers=2)
    steps = (builders.make_step(1), builders.make_step(1, after=(0,)))
    schedule = work.Schedule(builders.WALL + 5.0, 10.0, 2)
    job = builders.submit(ledger, 'timed', *steps, schedule=schedule)
    builders.decide(ledger, NOW + 4.9)
    assert builders.list_runs(ledger, job) == {}
    builders.decide(ledger, NOW + 5.1)
    assert len(builders.list_runs(ledger, job)) == 1


def test_preemption_cost_of_one_member_counts_the_whole_gang():
    """Stopping one member of a large gang loses the work of all of them."""
    ledger = builders.make_ledger(workers=4)
    gang = builders.make_step(3, 8, 60.0, gang=True)
    builders.submit(ledger, 'gang', gang, now=NOW - 1.0)
    builders.submit(ledger, 'single', builders.make_step(1, 8, 60.0))
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    urgent = builders.make_step(1, 8, 8.0)
    now = NOW + 2.0
    builders.submit(ledger, 'urgent', urgent, priority=0, now=now)
    builders.decide(ledger, now, guarantee=8)
    assert builders.list_stopping_jobs(ledger) == ['single']


def test_filling_work_never_shares_a_worker_with_a_latency_target():
    """Filling work would make serving work miss its latency target."""
    ledger = builders.make_ledger(workers=2)
    serving = builders.make_step(1, 1, lasting=True, latency_target=50)
    job = builders.submit(ledger, 'serving', serving)
    builders.decide(ledger)
    filling = builders.make_step(4, 1, fills=True)
    other = builders.submit(ledger, 'filling', filling)
    builders.decide(ledger, NOW + 0.1)
    serving_workers = set(builders.list_runs(ledger, job).values())
    assert not serving_workers & set(
        builders.list_runs(ledger, other).values()
    )
    assert len(builders.list_runs(ledger, other)) == 4


def test_lasting_work_is_restarted_after_each_end():
    """Lasting work is restarted after success and failure, without limit."""
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(
        ledger, 'lasting', builders.make_step(1, 1, lasting=True)
    )
    for serial in range(1, 6):
        builders.decide(ledger, NOW + serial)
        name = builders.list_runs(ledger, job)[0]
        worker = next(
            w for w in ledger.workers.values() if w.lifetime.worker == name
        )
        ending = work.Ending.FAILED if serial % 2 else work.Ending.DONE
        row = work.EndedRun(serial, next(iter(worker.runs)), ending, '')
        ends.record_end(NOW + serial, builders.WALL, ledger, worker, row)
    assert job.progress.state is work.JobState.RUNNING
    builders.decide(ledger, NOW + 20.0)
    assert list(builders.list_runs(ledger, job)) == [0]


def test_preempted_gang_frees_all_its_workers_at_one_cost():
    """The lost work of a gang is counted once, not once for each worker."""
    ledger = builders.make_ledger(workers=2)
    gang = builders.make_step(2, 8, 30.0, gang=True)
    builders.submit(ledger, 'gang', gang, priority=2)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    now = NOW + 10.0
    # Preemption for the urgent gang may lose half of its own work of 25 s on
    # each worker.
    urgent = builders.make_step(2, 8, 25.0, gang=True)
    builders.submit(ledger, 'urgent', urgent, priority=0, now=now - 25.0)
    builders.decide(ledger, now)
    assert builders.list_stopping_jobs(ledger) == ['gang', 'gang']


def test_guaranteed_work_waits_for_capacity_that_is_free_soon():
    """Preempting at once would waste work that ends within the delay."""
    ledger = builders.make_ledger(workers=2)
    builders.submit(ledger, 'ending', builders.make_step(1, 8, 10.0))
    builders.submit(ledger, 'long', builders.make_step(1, 8, 60.0), priority=2)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    now = NOW + 9.4
    for worker in ledger.workers.values():
        for placed in worker.runs.values():
            percent = 94.0 if placed.job.id == 'ending' else 15.0
            placed.update_from_list(
                work.RunningRun(placed.run, '', percent), now
            )
    urgent = builders.make_step(1, 8, 5.0)
    builders.submit(ledger, 'urgent', urgent, priority=0, now=now)
    builders.decide(ledger, now, guarantee=8)
    assert builders.list_stopping_jobs(ledger) == []
    builders.decide(ledger, now + 1.1, guarantee=8)
    assert len(builders.list_stopping_jobs(ledger)) == 1


def test_placing_a_large_gang_evaluates_each_worker_once(monkeypatch):
    """Evaluating all workers for each member would delay all decisions."""
    ledger = builders.make_ledger(workers=60)
    evaluated_workers = []
    find_capacity = tentative_plan.TentativePlan.find_capacity

    def count(tentative_plan, worker, demand):
        evaluated_workers.append(worker)
        return find_capacity(tentative_plan, worker, demand)

    monkeypatch.setattr(tentative_plan.TentativePlan, 'find_capacity', count)
    gang = builders.make_step(40, 8, 10.0, gang=True)
    job = builders.submit(ledger, 'gang', gang)
    builders.decide(ledger)
    assert len(builders.list_runs(ledger, job)) == 40
    assert len(evaluated_workers) <= 60 + 40
