"""Tests of work items that crash the workers that start them."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import crash_watch
from damaskpin.coordinator import crashes
from damaskpin.coordinator import records
from damaskpin.model import crash_limits as limits
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import simulation as simulations

STEP = work.Step(count=1, demand=work.Resources(1000, 500, 1), estimate=3.0)
JOB_ID = '0' * 16
WALL = builders.WALL


def _submit_crashing_job(simulation, steps=(STEP,)):
    job_id = f'{len(simulation.submissions):016x}'
    simulation.crashing_jobs.add(job_id)
    simulation.submit(steps)
    return job_id


def _get_state(simulation, job_id):
    return simulation.coordinator.jobs[job_id].progress.state


def _lose_worker_of(ledger, job, recent=True, begun=True, now=builders.NOW):
    """Crash the worker of a job's only run; the run is gone."""
    ((run, active),) = job.iterate_active()
    crash = orders.Crash(
        active.lifetime,
        (run,),
        (run,) if recent else (),
        (run,) if begun else (),
    )
    crashes.record_crash(now, WALL, ledger, crash)
    worker = ledger.workers[crash.lifetime]
    ledger.remove_lost_run(worker, run, 'crashed')
    return crash


@pytest.mark.parametrize('gang', [False, True])
def test_work_item_that_crashes_its_workers_is_given_up(gang):
    """Guards against a work item that ends one worker after the other."""
    simulation = simulations.Simulation(1, instances=5)
    step = work.Step(
        count=2, demand=STEP.demand, estimate=3.0, gang=gang, checkpoints=True
    )
    job_id = _submit_crashing_job(simulation, (step,))
    simulation.run(60.0)
    assert _get_state(simulation, job_id) is work.JobState.FAILED
    assert max(simulation.starts_by_item.values()) <= 3


def test_count_outlasts_the_coordinator_and_cuts():
    """Guards against counting anew after an election or a late report."""
    simulation = simulations.Simulation(2, instances=5)
    job_id = _submit_crashing_job(simulation)
    for _ in range(12):
        simulation.run(2.0)
        simulation.replace_coordinator()
        for instance in simulation.instances:
            instance.disconnected = not instance.disconnected
    for instance in simulation.instances:
        instance.disconnected = False
    simulation.run(30.0)
    assert _get_state(simulation, job_id) is work.JobState.FAILED
    assert max(simulation.starts_by_item.values()) <= 4


def test_other_work_survives_beside_work_that_crashes_its_workers():
    """Guards against giving up work that merely shared a worker."""
    simulation = simulations.Simulation(3, instances=5)
    for _ in range(4):
        simulation.submit((STEP,))
    crashing = _submit_crashing_job(simulation)
    for _ in range(4):
        simulation.submit((STEP,))
    simulation.run(30.0)
    simulation.heal_and_finish()
    for job_id in simulation.submissions:
        expected = work.JobState.COMPLETED
        if job_id == crashing:
            expected = work.JobState.FAILED
        assert _get_state(simulation, job_id) is expected


def test_restart_of_agent_and_worker_together_is_no_crash():
    """Guards against blaming work for a power cut of its machine."""
    simulation = simulations.Simulation(4, instances=3)
    simulation.submit((STEP,))
    for _ in range(8):
        simulation.run(3.0)
        for instance in simulation.instances:
            simulation.restart_worker(instance)
            simulation.restart_agent(instance)
    simulation.run(20.0)
    assert _get_state(simulation, JOB_ID) is work.JobState.RUNNING
    assert simulation.coordinator.counts['crashed'] == 0


def test_repeated_report_of_a_crash_counts_once():
    """Guards against giving up work after one crash."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    builders.decide(ledger)
    crash = _lose_worker_of(ledger, job)
    crashes.record_crash(builders.NOW, WALL, ledger, crash)
    assert not job.is_final()
    assert job.progress.occurrences[0][0].crashes == {0: {1: True}}


def test_count_is_stored_with_the_progress():
    """Guards against a count that ends with the coordinator's process."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    builders.decide(ledger)
    version = job.progress.version
    _lose_worker_of(ledger, job)
    stored = records.decode_progress(records.encode_progress(job.progress))
    assert stored.occurrences[0][0].crashes == {0: {1: True}}
    assert stored.version > version


def test_suspect_runs_apart_from_other_recent_starts():
    """Guards against a second crash that can't be attributed."""
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(ledger, 'j', builders.make_step())
    builders.decide(ledger)
    _lose_worker_of(ledger, job)
    builders.decide(ledger)
    (suspect,) = builders.list_runs(ledger, job).values()
    other = builders.submit(ledger, 'k', builders.make_step(count=4))
    builders.decide(ledger)
    assert suspect not in builders.list_runs(ledger, other).values()
    later = builders.NOW + crashes.PROBATION_S
    more = builders.submit(ledger, 'l', builders.make_step(count=12))
    builders.decide(ledger, later)
    assert suspect in builders.list_runs(ledger, more).values()


def test_old_runs_are_given_up_only_after_many_crashes():
    """Guards against failed jobs where workers crash for other reasons."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = builders.NOW
    for _ in range(limits.MAX_CRASHES - 1):
        builders.decide(ledger, now)
        _lose_worker_of(ledger, job, recent=False, now=now)
        _review(ledger, now)
        now += 10.0
    assert not job.is_final()
    builders.decide(ledger, now)
    _lose_worker_of(ledger, job, recent=False, now=now)
    assert job.progress.state is work.JobState.FAILED
    assert '5 workers crashed' in job.progress.reason


def _review(ledger, now):
    """Let the time of pending reviews pass."""
    later = now + crash_watch.REVIEW_DELAY_S
    crashes.review_crashes(later, WALL, ledger)


def _crash_under_member(ledger, job, index, now):
    """Crash the worker of one member of a job's gang; all runs are gone."""
    for run, active in list(job.iterate_active()):
        if run.item.index == index:
            crash = orders.Crash(active.lifetime, (run,), (run,), (run,))
            crashes.record_crash(now, WALL, ledger, crash)
        worker = ledger.workers[active.lifetime]
        ledger.remove_lost_run(worker, run, 'crashed')


def test_crashes_under_different_members_of_a_gang_are_not_added():
    """Guards against giving up a gang none of whose work items kills."""
    ledger = builders.make_ledger()
    step = builders.make_step(count=3, gang=True)
    job = builders.submit(ledger, 'j', step)
    now = builders.NOW
    for index in (1, 0, 2):
        builders.decide(ledger, now)
        _crash_under_member(ledger, job, index, now)
        _review(ledger, now)
        assert not job.is_final()
        now += 10.0


def test_member_of_a_gang_that_kills_is_given_up():
    """Guards against a killer that is the member of a gang."""
    ledger = builders.make_ledger()
    step = builders.make_step(count=3, gang=True)
    job = builders.submit(ledger, 'j', step)
    for now in (builders.NOW, builders.NOW + 10.0, builders.NOW + 20.0):
        assert not job.is_final()
        builders.decide(ledger, now)
        _crash_under_member(ledger, job, 2, now)
        _review(ledger, now)
    assert job.progress.state is work.JobState.FAILED


def test_progress_of_an_earlier_release_is_decoded():
    """Guards against a job that is lost when the coordinator is upgraded."""
    stored = b'{"occurrences":{"0":[{"crashes":{"0":{"1":true,"2":false}}}]}}'
    step = records.decode_progress(stored).occurrences[0][0]
    assert step.crashes == {0: {1: True, 2: False}}
    assert not step.member_crashes
    assert not step.unanswered


def test_unanswered_starts_are_no_proof():
    """Guards against giving up work that no worker has begun.

    Calls that come late are lost with a worker that crashes by chance.
    """
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = builders.NOW
    for _ in range(limits.MAX_SUSPECTED_CRASHES):
        builders.decide(ledger, now)
        _lose_worker_of(ledger, job, begun=False, now=now)
        _review(ledger, now)
        now += 10.0
    assert not job.is_final()
    assert ledger.counts['crashed'] == 0


def test_unanswered_starts_are_bounded():
    """Guards against a killer that crashes its workers before they answer."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = builders.NOW
    starts = 0
    while not job.is_final():
        builders.decide(ledger, now)
        _lose_worker_of(ledger, job, begun=False, now=now)
        _review(ledger, now)
        starts += 1
        now += 20.0
    # A work item may not be started three times more after three crashes.
    assert starts <= 5


def test_work_is_not_given_up_for_one_crash_that_it_had_begun_before():
    """Guards against unanswered starts that fill up a limit of four."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = builders.NOW
    for begun in (True, False, False, False):
        builders.decide(ledger, now)
        _lose_worker_of(ledger, job, begun=begun, now=now)
        _review(ledger, now)
        now += 20.0
    assert not job.is_final()


def test_crashes_of_all_kinds_are_bounded_together():
    """Guards against a killer whose crashes are counted as of three kinds."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = builders.NOW
    kinds = [(True, True), (False, True), (False, True), (True, False)] * 2
    starts = 0
    while not job.is_final():
        builders.decide(ledger, now)
        recent, begun = kinds[starts]
        _lose_worker_of(ledger, job, recent, begun, now)
        _review(ledger, now)
        starts += 1
        now += 20.0
    assert starts <= 5


def test_confirmed_report_replaces_an_unanswered_start():
    """Guards against counting one crash twice when a report knows more."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    builders.decide(ledger)
    ((run, active),) = job.iterate_active()
    for begun in ((), (run,), ()):
        crash = orders.Crash(active.lifetime, (run,), (run,), begun)
        crashes.record_crash(builders.NOW, WALL, ledger, crash)
    progress = job.progress.occurrences[0][0]
    assert progress.crashes == {0: {1: True}}
    assert not any(progress.unanswered.values())
