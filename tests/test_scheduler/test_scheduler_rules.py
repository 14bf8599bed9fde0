"""Tests of individual scheduling rules."""

import random

import pytest

from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.scheduler import cells
from damaskpin.scheduler import decisions
from damaskpin.scheduler import estimates
from damaskpin.scheduler import scheduler as schedulers

WORKER = hardware.Adjacency.WORKER
RACK = hardware.Adjacency.RACK
CENTRE = hardware.Adjacency.DATA_CENTRE


def make_shape(accelerators, adjacency, count=1, name='shape'):
    return configs.Guarantee(
        name=name,
        accelerators=accelerators,
        adjacency=adjacency,
        count=count,
        region='r',
    )


def make_account(name, *shapes, quota=100, **values):
    return configs.Account(
        name=name,
        token_sha256='0' * 64,
        quota=quota,
        guarantees=list(shapes),
        **values,
    )


def make_config(*accounts, racks=2, workers=4, accelerators=4, failed=0):
    return configs.Config(
        accounts=list(accounts),
        racks=[
            configs.Rack(
                name=f'k{index}',
                data_centre='d',
                region='r',
                workers=workers,
                accelerators=accelerators,
            )
            for index in range(racks)
        ],
        failed_workers=failed,
    )


def make_scheduler(config):
    scheduler = schedulers.Scheduler(config, random.Random(1))
    for rack in config.racks:
        for index in range(rack.workers):
            scheduler.set_worker(
                0.0,
                hardware.Worker(
                    f'{rack.name}-{index}',
                    'r',
                    'd',
                    rack.name,
                    rack.accelerators,
                ),
            )
    return scheduler


def submit(scheduler, job_id, account, accelerators, now=0.0, **values):
    values.setdefault('adjacency', WORKER)
    spec = jobs.JobSpec(accelerators=accelerators, **values)
    return scheduler.submit(now, jobs.Job(job_id, account, spec))


def finish_job(
    scheduler, job_id, now, result=decisions.Result.SUCCEEDED, *failed
):
    scheduler.finished(now, job_id, decisions.Outcome(result, failed))


def decide(scheduler, now):
    """Call decide() until no work is left; return decisions by type."""
    by_type = {'place': {}, 'reclaim': {}, 'warn': []}
    for _ in range(100):
        for decision in scheduler.decide(now):
            match decision:
                case decisions.Place(job_id=job_id):
                    by_type['place'][job_id] = decision
                case decisions.Reclaim(job_id=job_id):
                    by_type['reclaim'][job_id] = decision
                case decisions.Warn():
                    by_type['warn'].append(decision)
        wakeup = scheduler.next_wakeup(now)
        if wakeup is None or wakeup > now:
            return by_type
    raise AssertionError('decide() had work left after 100 calls')


@pytest.mark.parametrize(
    ('shape', 'failed', 'fits'),
    [
        (make_shape(4, WORKER, 8), 0, True),
        (make_shape(4, WORKER, 8), 1, False),
        (make_shape(4, WORKER, 7), 1, True),
        (make_shape(4, WORKER, 7), 2, False),
        (make_shape(5, WORKER), 0, False),
        (make_shape(16, RACK, 2), 0, True),
        (make_shape(16, RACK, 2), 1, False),
        (make_shape(16, RACK, 1), 1, True),
        (make_shape(12, RACK, 2), 1, True),
        (make_shape(28, CENTRE), 1, True),
        (make_shape(29, CENTRE), 1, False),
    ],
)
def test_feasibility_names_account_and_shape(shape, failed, fits):
    """Guards against accepting shapes that do not fit after a failure."""
    config = make_config(make_account('acme', shape), failed=failed)
    problems = cells.check_feasibility(config)
    assert not problems if fits else len(problems) == 1
    for problem in problems:
        assert 'account acme, shape shape' in problem


def test_feasibility_counts_all_accounts_and_the_quota():
    """Guards against a check that considers each account separately."""
    shape = make_shape(16, RACK)
    config = make_config(
        make_account('a', shape, quota=15),
        make_account('b', shape),
        make_account('c', shape),
    )
    problems = cells.check_feasibility(config)
    assert any('account a' in p and 'quota is 15' in p for p in problems)
    assert any('account c, shape shape' in p for p in problems)


def test_guaranteed_job_starts_after_the_fewest_borrowers_stopped():
    """Guards against too many stopped borrowers and a too early start."""
    config = make_config(
        make_account('owner', make_shape(16, RACK)), make_account('guest')
    )
    scheduler = make_scheduler(config)
    for index in range(32):
        submit(scheduler, f'g{index}', 'guest', 1)
    assert len(decide(scheduler, 1.0)['place']) == 32
    submit(scheduler, 'big', 'owner', 16, now=2.0, adjacency=RACK)
    by_type = decide(scheduler, 2.0)
    assert not by_type['place']
    assert len(by_type['reclaim']) == 16
    for job_id, reclaim in by_type['reclaim'].items():
        assert reclaim.grace == 2.0
        assert not decide(scheduler, 4.0)['place']
        finish_job(scheduler, job_id, 4.0, decisions.Result.CHECKPOINTED)
    place = decide(scheduler, 4.5)['place']['big']
    assert place.guaranteed
    assert sorted(place.reclaimed) == sorted(by_type['reclaim'])


def test_low_priority_jobs_are_reclaimed_first():
    """Guards against stopping an urgent job instead of a low-priority one."""
    config = make_config(
        make_account('owner', make_shape(4, WORKER)),
        make_account('guest'),
        racks=1,
        workers=1,
    )
    scheduler = make_scheduler(config)
    for index, priority in enumerate([0, 3, 1, 3]):
        priority = jobs.Priority(priority)
        submit(scheduler, f'g{index}', 'guest', 1, priority=priority)
    decide(scheduler, 1.0)
    submit(scheduler, 'own', 'owner', 2, now=2.0)
    assert sorted(decide(scheduler, 2.0)['reclaim']) == ['g1', 'g3']


def test_borrowers_are_stopped_for_a_guarantee_of_a_full_account():
    """Guards against a guaranteed job blocked by borrowers of its account."""
    shape = make_shape(4, WORKER)
    config = make_config(make_account('a', shape, quota=8))
    scheduler = make_scheduler(config)
    for index in range(4):
        submit(scheduler, f'loose{index}', 'a', 2, adjacency=CENTRE)
    decide(scheduler, 1.0)
    # The first job uses the guarantee. When it ends, borrowing jobs must not
    # keep the account at its quota.
    finish_job(scheduler, 'loose0', 2.0)
    submit(scheduler, 'more', 'a', 2, now=3.0, shape='shape')
    decide(scheduler, 3.0)
    finish_job(scheduler, 'more', 4.0)
    submit(scheduler, 'own', 'a', 4, now=5.0)
    by_type = decide(scheduler, 5.0)
    assert len(by_type['reclaim']) == 1
    for job_id in by_type['reclaim']:
        finish_job(scheduler, job_id, 6.0, decisions.Result.CHECKPOINTED)
    assert decide(scheduler, 6.0)['place']['own'].guaranteed


def test_warning_is_returned_once_per_change():
    """Guards against a missing warning and one repeated on every call."""
    config = make_config(make_account('a', make_shape(16, RACK)), racks=1)
    scheduler = make_scheduler(config)
    assert not decide(scheduler, 1.0)['warn']
    scheduler.remove_worker(2.0, 'k0-1')
    (warn,) = decide(scheduler, 2.0)['warn']
    assert (warn.account, warn.shape, warn.instances) == ('a', 'shape', 1)
    assert warn.failed_workers == ('k0-1',)
    assert not decide(scheduler, 3.0)['warn']
    scheduler.remove_worker(4.0, 'k0-2')
    (warn,) = decide(scheduler, 4.0)['warn']
    assert warn.failed_workers == ('k0-1', 'k0-2')
    for name in ('k0-1', 'k0-2'):
        worker = hardware.Worker(name, 'r', 'd', 'k0', 4)
        scheduler.set_worker(5.0, worker)
    (warn,) = decide(scheduler, 5.0)['warn']
    assert warn.instances == 0


def test_jobs_that_can_never_run_are_refused_with_the_reason():
    """Guards against queued jobs that can never start."""
    config = make_config(
        make_account('a', make_shape(4, WORKER), quota=20, max_queued=1)
    )
    scheduler = make_scheduler(config)
    for account, size, values, text in (
        ('x', 1, {}, 'unknown account'),
        ('a', 21, {'adjacency': CENTRE}, 'quota'),
        ('a', 5, {}, 'largest one has 4'),
        ('a', 17, {'adjacency': RACK}, 'largest one has 16'),
        ('a', 1, {'shape': 'other'}, 'no shape other'),
        ('a', 8, {'shape': 'shape', 'adjacency': RACK}, 'shape shape offers'),
    ):
        refusal = submit(scheduler, 'j', account, size, **values)
        assert text in refusal.reason
        assert not refusal.retryable
    assert submit(scheduler, 'first', 'a', 1) is None
    assert submit(scheduler, 'second', 'a', 1).retryable


def test_small_jobs_prefer_partly_used_racks():
    """Guards against small jobs that fragment several racks."""
    config = make_config(make_account('a'))
    scheduler = make_scheduler(config)
    for index in range(8):
        submit(scheduler, f'j{index}', 'a', 2 - index % 2)
    used = {
        name
        for place in decide(scheduler, 1.0)['place'].values()
        for name, _ in place.members
    }
    assert len({name.split('-')[0] for name in used}) == 1
    assert len(used) == 3
    submit(scheduler, 'gang', 'a', 16, now=2.0, adjacency=RACK)
    assert 'gang' in decide(scheduler, 2.0)['place']


def test_priority_and_then_fair_share_decide_the_order():
    """Guards against an account that takes more than its fair share."""
    config = make_config(
        make_account('a', weight=1.0), make_account('b', weight=3.0), racks=1
    )
    scheduler = make_scheduler(config)
    for index in range(16):
        submit(scheduler, f'a{index}', 'a', 1)
    for index in range(16):
        submit(scheduler, f'b{index}', 'b', 1, now=1.0)
    high = jobs.Priority.HIGH
    submit(scheduler, 'high', 'a', 4, now=1.0, priority=high)
    placed = list(decide(scheduler, 1.0)['place'])
    assert placed[0] == 'high'
    assert sum(name.startswith('b') for name in placed) == 12


def test_urgent_job_preempts_normal_borrowers():
    """Guards against an urgent job that waits for a long normal job."""
    config = make_config(make_account('a'), racks=1, workers=1)
    scheduler = make_scheduler(config)
    submit(scheduler, 'normal', 'a', 4)
    decide(scheduler, 1.0)
    submit(scheduler, 'urgent', 'a', 2, now=2.0, priority=jobs.Priority.URGENT)
    assert list(decide(scheduler, 2.0)['reclaim']) == ['normal']
    finish_job(scheduler, 'normal', 3.0, decisions.Result.CHECKPOINTED)
    assert list(decide(scheduler, 3.0)['place']) == ['urgent']


@pytest.mark.parametrize('declared', [10.0, 100.0])
def test_overrunning_backfilled_job_is_stopped_for_the_gang(declared):
    """Guards against a gang blocked by backfilled jobs that run too long."""
    config = make_config(make_account('a'), make_account('b'))
    scheduler = make_scheduler(config)
    submit(scheduler, 'first', 'a', 24, adjacency=CENTRE, run_seconds=1000.0)
    decide(scheduler, 1.0)
    submit(scheduler, 'gang', 'a', 32, now=2.0, adjacency=CENTRE)
    assert not decide(scheduler, 2.0)['place']
    submit(scheduler, 'long', 'b', 4, now=3.0, run_seconds=100_000.0)
    submit(scheduler, 'short', 'b', 4, now=3.0, run_seconds=declared)
    assert list(decide(scheduler, 3.0)['place']) == ['short']
    # The short job overruns its declared time, and the first job ends early.
    finish_job(scheduler, 'first', 200.0)
    assert list(decide(scheduler, 200.0)['reclaim']) == ['short']
    finish_job(scheduler, 'short', 202.0, decisions.Result.CHECKPOINTED)
    assert list(decide(scheduler, 202.0)['place']) == ['gang']


def test_small_jobs_are_moved_for_a_large_gang():
    """Guards against a large gang that starves because of fragmentation."""
    config = make_config(make_account('a'), racks=5)
    scheduler = make_scheduler(config)
    for index in range(20):
        submit(scheduler, f's{index}', 'a', 4)
    decide(scheduler, 1.0)
    for index in range(20):
        if index not in (0, 5, 10, 15):
            finish_job(scheduler, f's{index}', 2.0)
    decide(scheduler, 2.0)
    for rack in range(5):
        submit(scheduler, f'pin{rack}', 'a', 12, now=3.0, adjacency=RACK)
    decide(scheduler, 3.0)
    finish_job(scheduler, 'pin1', 400.0)
    submit(scheduler, 'gang', 'a', 16, now=400.0, adjacency=RACK)
    by_type = decide(scheduler, 400.0)
    moved = list(by_type['reclaim'])
    assert len(moved) <= 1
    for job_id in moved:
        finish_job(scheduler, job_id, 402.0, decisions.Result.CHECKPOINTED)
    placed = {**by_type['place'], **decide(scheduler, 402.0)['place']}
    assert set(placed) == {'gang', *moved}


def test_large_gang_that_waits_long_stops_small_borrowers():
    """Guards against a starving gang and jobs that are stopped repeatedly."""
    scheduler = make_scheduler(make_config(make_account('a'), racks=1))
    names = {f's{index}' for index in range(4)}
    for name in names:
        submit(scheduler, name, 'a', 4, run_seconds=1e6)
    decide(scheduler, 1.0)
    now = 1000.0
    for number in range(4):
        gang = f'gang{number}'
        submit(scheduler, gang, 'a', 16, now=now, adjacency=RACK)
        assert not decide(scheduler, now + 1700.0)['reclaim']
        now += 1900.0
        reclaims = decide(scheduler, now)['reclaim']
        if number == 3:
            assert not reclaims
            break
        assert set(reclaims) == names
        for name in names:
            finish_job(scheduler, name, now + 1, decisions.Result.CHECKPOINTED)
        assert set(decide(scheduler, now + 1)['place']) == {gang}
        finish_job(scheduler, gang, now + 2)
        placed = set(decide(scheduler, now + 2)['place'])
        assert placed | set(decide(scheduler, now + 63)['place']) == names
        now += 400.0


def test_short_jobs_go_first_but_do_not_starve_a_long_one():
    """Guards against long jobs that starve or that delay all short jobs."""
    scheduler = make_scheduler(
        make_config(make_account('a'), racks=1, workers=1)
    )
    submit(scheduler, 'first', 'a', 4, run_seconds=200.0)
    decide(scheduler, 1.0)
    submit(scheduler, 'long', 'a', 4, now=2.0, run_seconds=5000.0)
    submit(scheduler, 'short', 'a', 4, now=100.0, run_seconds=200.0)
    finish_job(scheduler, 'first', 201.0)
    assert set(decide(scheduler, 201.0)['place']) == {'short'}
    spec = jobs.JobSpec(accelerators=4, adjacency=WORKER, run_seconds=5000.0)
    job = jobs.Job('old', 'a', spec, age_seconds=20000.0)
    scheduler.submit(202.0, job)
    submit(scheduler, 'late', 'a', 4, now=202.0, run_seconds=200.0)
    finish_job(scheduler, 'short', 401.0)
    assert set(decide(scheduler, 401.0)['place']) == {'old'}


def test_large_gang_is_not_stopped_for_a_reservation():
    """Guards against stopping a large gang for a reservation."""
    scheduler = make_scheduler(
        make_config(make_account('a'), racks=1, workers=8)
    )
    submit(scheduler, 'base', 'a', 16, adjacency=RACK, run_seconds=10000.0)
    decide(scheduler, 1.0)
    submit(scheduler, 'holder', 'a', 24, 2.0, adjacency=RACK, run_seconds=1.0)
    decide(scheduler, 2.0)
    submit(scheduler, 'large', 'a', 16, 3.0, adjacency=RACK, run_seconds=9.0)
    assert set(decide(scheduler, 3.0)['place']) == {'large'}
    finish_job(scheduler, 'base', 4.0)
    assert not decide(scheduler, 4.0)['reclaim']


def fail_jobs_on_worker(scheduler, name, count, now, succeed):
    """Let jobs fail on one worker, and succeed or fail on another one.

    :param succeed: whether the jobs succeed on the other worker.
    """
    for index in range(count):
        job_id = f'{name}-{index}-{now}'
        spec = jobs.JobSpec(accelerators=1)
        members = ((name, (0,)),)
        job = jobs.Job(job_id, 'a', spec)
        scheduler.restore(now, job, 'x', members, False, 0.0)
        finish_job(scheduler, job_id, now, decisions.Result.LOST, name)
        place = decide(scheduler, now + 0.1)['place'][job_id]
        assert place.members[0][0] != name
        if succeed:
            finish_job(scheduler, job_id, now + 0.2)
        else:
            failed = place.members[0][0]
            finish_job(
                scheduler, job_id, now + 0.2, decisions.Result.FAILED, failed
            )


def test_failing_worker_is_quarantined_and_probed():
    """Guards against a worker that quickly fails one job after another."""
    scheduler = make_scheduler(make_config(make_account('a'), racks=5))
    fail_jobs_on_worker(scheduler, 'k0-0', 3, 1.0, succeed=True)
    decide(scheduler, 2.0)
    assert scheduler.get_snapshot(2.0).failed_workers == ('k0-0',)
    # At most one worker of a rack and 10% of all workers are quarantined.
    for name in ('k0-1', 'k1-0', 'k2-0'):
        fail_jobs_on_worker(scheduler, name, 3, 3.0, succeed=True)
    decide(scheduler, 4.0)
    assert scheduler.get_snapshot(4.0).failed_workers == ('k0-0', 'k1-0')
    # A probe that succeeds ends the quarantine.
    assert scheduler.next_wakeup(5.0) <= 66.0
    for index in range(20):
        submit(scheduler, f'p{index}', 'a', 4, now=70.0)
    placed = decide(scheduler, 70.0)['place']
    assert len(placed) == 20
    for job_id in placed:
        finish_job(scheduler, job_id, 71.0)
    decide(scheduler, 72.0)
    assert 'k0-0' not in scheduler.get_snapshot(72.0).failed_workers


def test_jobs_that_fail_everywhere_cause_no_quarantine():
    """Guards against faulty jobs that cause workers to be quarantined."""
    scheduler = make_scheduler(make_config(make_account('a'), racks=5))
    fail_jobs_on_worker(scheduler, 'k0-0', 5, 1.0, succeed=False)
    decide(scheduler, 2.0)
    assert scheduler.get_snapshot(2.0).failed_workers == ()


def test_run_times_are_corrected_per_account():
    """Guards against relying on run times that are declared too short."""
    run_time_estimates = estimates.Estimates()
    for _ in range(40):
        run_time_estimates.record_run_time('a', 100.0, 1000.0)
    run_time_estimates.record_run_time('b', 100.0, 1e9)
    assert 900 < run_time_estimates.get_run_seconds('a', 100.0) < 1100
    assert run_time_estimates.get_run_seconds('b', 100.0) < 400
    assert run_time_estimates.get_run_seconds('c', 100.0) == 100.0


def test_restored_guaranteed_work_is_not_reclaimed():
    """Guards against reclaiming guaranteed jobs after a restart."""
    shape = make_shape(4, WORKER, 1)
    config = make_config(
        make_account('a', shape), make_account('b', shape), racks=1, workers=2
    )
    scheduler = make_scheduler(config)
    for job_id, account, name, guaranteed in (
        ('ja', 'a', 'k0-1', True),
        ('guest', 'a', 'k0-0', False),
    ):
        job = jobs.Job(job_id, account, jobs.JobSpec(accelerators=4))
        members = ((name, (0, 1, 2, 3)),)
        scheduler.restore(1.0, job, 'x', members, guaranteed, 50.0)
    with pytest.raises(ValueError, match='not free'):
        scheduler.restore(
            1.0, jobs.Job('z', 'b', job.spec), 'x', members, False, 1.0
        )
    submit(scheduler, 'jb', 'b', 4, now=2.0)
    assert list(decide(scheduler, 2.0)['reclaim']) == ['guest']


def test_failed_placement_is_retried_after_a_delay():
    """Guards against repeating a failed placement without a delay."""
    scheduler = make_scheduler(make_config(make_account('a')))
    submit(scheduler, 'j', 'a', 1)
    assert decide(scheduler, 1.0)['place']
    scheduler.placement_failed(1.5, 'j', 'accelerators are taken')
    assert not decide(scheduler, 1.5)['place']
    wakeup = scheduler.next_wakeup(1.5)
    assert 1.5 < wakeup <= 1.75
    assert decide(scheduler, wakeup)['place']
    assert any('taken' in line for line in scheduler.explain('j'))


def test_cancelled_job_is_not_queued_again_after_its_checkpoint():
    """Guards against a cancelled job that is restarted."""
    scheduler = make_scheduler(make_config(make_account('a')))
    submit(scheduler, 'j', 'a', 1)
    decide(scheduler, 1.0)
    scheduler.cancel(2.0, 'j')
    finish_job(scheduler, 'j', 3.0, decisions.Result.CHECKPOINTED)
    assert not decide(scheduler, 4.0)['place']
    assert scheduler.get_snapshot(4.0).used == 0


def test_guaranteed_job_keeps_its_guarantee_when_the_shape_changes():
    """Guards against reclaiming a guaranteed job after a new config."""
    small = make_config(make_account('a', make_shape(4, WORKER)))
    scheduler = make_scheduler(small)
    submit(scheduler, 'j', 'a', 4)
    assert decide(scheduler, 1.0)['place']['j'].guaranteed
    scheduler.set_config(
        make_config(
            make_account('a', make_shape(8, RACK), make_shape(4, WORKER, 2))
        )
    )
    for index in range(8):
        submit(scheduler, f'g{index}', 'a', 4, now=2.0)
    by_type = decide(scheduler, 2.0)
    assert sum(p.guaranteed for p in by_type['place'].values()) <= 1


def test_workers_out_of_service_for_a_day_are_deleted():
    """Guards against unbounded growth while workers are replaced."""
    scheduler = make_scheduler(make_config(make_account('a')))
    scheduler.remove_worker(1.0, 'k0-0')
    submit(scheduler, 'j', 'a', 1, now=80_000.0)
    decide(scheduler, 80_000.0)
    assert scheduler.get_snapshot(80_000.0).workers == 8
    finish_job(scheduler, 'j', 90_000.0)
    decide(scheduler, 90_000.0)
    assert scheduler.get_snapshot(90_000.0).workers == 7
