"""Tests of the scheduler on replayed traces."""

import pytest

from bench import metrics
from bench import records
from bench import replay
from bench import traces
from damaskpin.scheduler import scheduler

FAULTS = (frozenset(), frozenset(traces.Fault))


@pytest.mark.parametrize('deployment', traces.DEPLOYMENTS)
@pytest.mark.parametrize('faults', FAULTS)
def test_guaranteed_and_urgent_work_starts_in_time(deployment, faults):
    # Invariant 1 is broken if a gang on borrowed accelerators is not reclaimed
    # in time for a guaranteed job.
    trace = traces.make_trace(deployment, 0, jobs_count=120, faults=faults)
    figures = metrics.compute_figures(
        replay.replay_trace(trace, scheduler.Scheduler)
    )
    assert figures.guaranteed_late == 0
    assert figures.wrongly_refused == 0


def test_same_seed_gives_same_decisions():
    # Decisions must not depend on the iteration order of a set, which differs
    # between runs.
    trace = traces.make_trace('repair', 1, jobs_count=120)
    first = metrics.compute_figures(
        replay.replay_trace(trace, scheduler.Scheduler)
    )
    assert first == metrics.compute_figures(
        replay.replay_trace(trace, scheduler.Scheduler)
    )


def test_no_job_waits_on_an_empty_fleet():
    # Only the first job of each group is tried. Reservations of later jobs
    # once blocked every rack for these first jobs, so that 20 jobs waited for
    # ever while 80 accelerators were free.
    trace = traces.make_trace(
        'shortlist',
        28,
        jobs_count=120,
        load=1.5,
        faults=frozenset({traces.Fault.FAILING}),
    )
    result = replay.replay_trace(trace, scheduler.Scheduler, 28)
    states = [record.state for record in result.records.values()]
    assert states.count(records.JobState.WAITING) == 0


def test_guarantee_holds_while_a_gang_loses_a_worker():
    # A gang that loses a worker keeps its other accelerators until the lease
    # of 15 s on the lost worker expires. It is not reclaimed earlier, so a
    # guaranteed job can start too late.
    trace = traces.make_trace(
        'shortlist',
        23,
        jobs_count=120,
        load=1.5,
        faults=frozenset({traces.Fault.FAILING}),
    )
    result = replay.replay_trace(trace, scheduler.Scheduler, 23)
    assert metrics.compute_figures(result).guaranteed_late == 0
