"""Tests of the baseline scheduling policies."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import baselines
from bench import fleets
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.scheduler import decisions

POLICIES = (baselines.FirstFit, baselines.BestFitBackfill)


def make_policy(factory):
    config = fleets.make_config('repair')
    policy = factory(config, random.Random(1))
    for worker in fleets.make_workers(config):
        policy.set_worker(0.0, worker)
    return policy


def make_job(name, size, adjacency=None, seconds=3600.0, account='counters'):
    adjacency = adjacency or fleets.choose_adjacency(size, fleets.SMALL_FLEET)
    spec = jobs.JobSpec(
        accelerators=size, adjacency=adjacency, run_seconds=seconds
    )
    return jobs.Job(name, account, spec)


@pytest.mark.parametrize('factory', POLICIES)
def test_refuses_jobs_that_never_run(factory):
    # In a strict queue, a job that can never run would block all later jobs.
    policy = make_policy(factory)
    worker = hardware.Adjacency.WORKER
    assert policy.submit(0.0, make_job('a', 9, worker)) is not None
    assert policy.submit(0.0, make_job('b', 1, account='none')) is not None
    assert policy.submit(0.0, make_job('c', 81)) is not None
    assert policy.decide(0.0) == []


def test_first_fit_blocks_behind_a_large_gang():
    # First-fit that skips a job that does not fit would be backfill.
    policy = make_policy(baselines.FirstFit)
    for index in range(3):
        policy.submit(0.0, make_job(f'a{index}', 24, account='matching'))
    assert len(policy.decide(0.0)) == 3
    policy.submit(1.0, make_job('b', 24))
    policy.submit(2.0, make_job('c', 1))
    assert policy.decide(2.0) == []


def test_backfill_keeps_the_reservation():
    # Backfill that starts long jobs in the reserved rack would delay the first
    # waiting gang.
    policy = make_policy(baselines.BestFitBackfill)
    for index, seconds in enumerate((100.0, 500.0, 900.0)):
        policy.submit(
            0.0, make_job(f'a{index}', 23, None, seconds, 'matching')
        )
    policy.decide(0.0)
    policy.submit(1.0, make_job('b', 24))
    policy.submit(1.0, make_job('short', 1, None, 50.0))
    for index in range(11):
        policy.submit(1.0, make_job(f'long{index:02}', 1, None, 5000.0))
    placed = {place.job_id for place in policy.decide(1.0)}
    assert placed == {'short'} | {f'long{index:02}' for index in range(10)}
    finished = decisions.Outcome(decisions.Result.SUCCEEDED)
    policy.finished(50.0, 'short', finished)
    policy.finished(100.0, 'a0', finished)
    assert [place.job_id for place in policy.decide(100.0)] == ['b']


@pytest.mark.parametrize('factory', POLICIES)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['submit', 'finish', 'lose', 'back']),
            strategies.integers(1, 24),
        ),
        max_size=60,
    )
)
def test_gangs_never_share_accelerators_or_span_cells(factory, steps):
    # A baseline that places two gangs on the same accelerators, or a gang in
    # several cells, would make comparisons with the scheduler meaningless.
    policy = make_policy(factory)
    workers = fleets.make_workers(fleets.make_config('repair'))
    by_name = {worker.name: worker for worker in workers}
    waiting, running, lost = {}, {}, set()
    for index, (step, number) in enumerate(steps):
        name = workers[number % len(workers)].name
        if step == 'submit':
            job = make_job(f'j{index}', number)
            if policy.submit(index, job) is None:
                waiting[job.id] = job
        elif step == 'finish' and running:
            job_id = sorted(running)[number % len(running)]
            del running[job_id]
            policy.finished(
                index, job_id, decisions.Outcome(decisions.Result.SUCCEEDED)
            )
        elif step == 'lose':
            lost.add(name)
            policy.remove_worker(index, name)
        elif step == 'back' and name in lost:
            lost.discard(name)
            policy.set_worker(index, by_name[name])
        for place in policy.decide(index):
            job = waiting.pop(place.job_id)
            running[place.job_id] = place.members
            taken = [
                (worker, slot)
                for members in running.values()
                for worker, slots in members
                for slot in slots
            ]
            assert len(taken) == len(set(taken))
            assert lost.isdisjoint(worker for worker, _ in place.members)
            size = sum(len(slots) for _, slots in place.members)
            assert size == job.spec.accelerators
            cells = {
                hardware.get_cell(by_name[worker], job.spec.adjacency)
                for worker, _ in place.members
            }
            assert len(cells) == 1
