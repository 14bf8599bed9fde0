"""Tests of job traces, their replay and the computed figures."""

import json

import pytest

from bench import baselines
from bench import decisions as policy_comparison
from bench import metrics
from bench import records
from bench import replay
from bench import traces
from damaskpin.scheduler import decisions

ALL_FAULTS = frozenset(traces.Fault)


class _Reclaimer(baselines.BestFitBackfill):
    """Reclaims every job twice: 100 s after its start, 10 s after a restart.

    At the second reclaim the job is still loading its checkpoint.
    """

    def __init__(self, config, rng):
        super().__init__(config, rng)
        self.started_at = {}
        self.left = {}

    def started(self, now, job_id, attempt):
        super().started(now, job_id, attempt)
        self.started_at[job_id] = now
        self.left.setdefault(job_id, [10.0, 100.0])

    def finished(self, now, job_id, outcome):
        super().finished(now, job_id, outcome)
        del self.started_at[job_id]

    def decide(self, now):
        result = super().decide(now)
        for job_id, since in self.started_at.items():
            left = self.left[job_id]
            if left and now - since >= left[-1]:
                left.pop()
                result.append(decisions.Reclaim(job_id, 2.0, 'test'))
        return result

    def next_wakeup(self, now):
        return now + 10.0 if self.started_at else None


class _DoublePlacer(baselines.FirstFit):
    """Places every gang twice on the same accelerators."""

    def decide(self, now):
        places = super().decide(now)
        return [place for place in places for _ in range(2)]


@pytest.mark.parametrize('deployment', traces.DEPLOYMENTS)
def test_traces_are_seeded_and_faults_keep_the_other_jobs(deployment):
    # Figures before and after a code change are comparable only if both runs
    # use equal traces.
    plain = traces.make_trace(deployment, 3)
    assert plain == traces.make_trace(deployment, 3)
    assert plain != traces.make_trace(deployment, 4)
    faulty = traces.make_trace(deployment, 3, faults=ALL_FAULTS)
    assert [
        trace_job.job for trace_job in faulty.jobs if trace_job.runnable
    ] == [trace_job.job for trace_job in plain.jobs]
    assert {event.change for event in faulty.worker_events} == set(
        traces.WorkerChange
    )
    sizes = {trace_job.job.spec.accelerators for trace_job in plain.jobs}
    assert {min(sizes), max(sizes)} == {1, 24}
    for trace_job in plain.jobs:
        error = trace_job.job.spec.run_seconds / trace_job.run_seconds
        assert 0.099 <= error <= 10.01


@pytest.mark.parametrize('deployment', traces.DEPLOYMENTS)
@pytest.mark.parametrize('faults', [frozenset(), ALL_FAULTS])
@pytest.mark.parametrize(
    'policy', [baselines.FirstFit, baselines.BestFitBackfill, _Reclaimer]
)
def test_replay_conserves_work(deployment, faults, policy):
    # The accelerator time of a job is its true work plus the cost of its
    # interruptions. A lost or repeated event in the replay breaks this sum.
    trace = traces.make_trace(deployment, 1, jobs_count=80, faults=faults)
    result = replay.replay_trace(trace, policy)
    for record in result.records.values():
        if not faults:
            assert record.state == records.JobState.DONE
        if record.state != records.JobState.DONE:
            continue
        trace_job = record.trace_job
        work = trace_job.run_seconds * trace_job.job.spec.accelerators
        expected = work + record.lost_accelerator_seconds
        assert record.used_accelerator_seconds == pytest.approx(
            expected, rel=1e-6
        )
        assert record.end >= trace_job.submit_time + trace_job.run_seconds
    most = max(item.reclaims for item in result.records.values())
    assert most == (2 if policy is _Reclaimer else 0)


@pytest.mark.parametrize('policy', [baselines.FirstFit, _Reclaimer])
def test_every_job_ends_under_faults(policy):
    # A job whose event the replay drops never ends and is left out of figures.
    trace = traces.make_trace('repair', 2, jobs_count=80, faults=ALL_FAULTS)
    result = replay.replay_trace(trace, policy)
    states = {record.state for record in result.records.values()}
    final = {
        records.JobState.DONE,
        records.JobState.CANCELLED,
        records.JobState.REFUSED,
        records.JobState.ABANDONED,
    }
    assert states <= final
    for record in result.records.values():
        refused = record.state == records.JobState.REFUSED
        assert refused == (not record.trace_job.runnable)


def test_replay_rejects_broken_invariants():
    # Figures of a policy that places two gangs on the same accelerators would
    # be meaningless.
    trace = traces.make_trace('repair', 1, jobs_count=20)
    with pytest.raises(replay.ReplayError):
        replay.replay_trace(trace, _DoublePlacer)


def test_same_seed_gives_same_figures():
    # A replay that depends on anything but its arguments is not reproducible.
    trace = traces.make_trace('shortlist', 5, jobs_count=80, faults=ALL_FAULTS)
    first = metrics.compute_figures(
        replay.replay_trace(trace, baselines.BestFitBackfill, 5)
    )
    again = metrics.compute_figures(
        replay.replay_trace(trace, baselines.BestFitBackfill, 5)
    )
    assert first == again


def test_fragmentation_counts_only_cells_too_small_for_every_gang():
    # Expected values are computed by hand. During half of the time with
    # waiting jobs, 8 of 80 accelerators are free, 2 of them in a rack with too
    # few free accelerators for any waiting gang.
    result = records.ReplayResult(
        traces.make_trace('repair', 1, jobs_count=2), {}
    )
    result.add_interval(10.0, free=8, unusable=2, total=80)
    result.add_interval(10.0, free=0, unusable=0, total=80)
    assert result.waiting_time == 20.0
    assert result.fragmentation_time == 10.0 * 2 / 8
    assert result.unusable_time == 10.0 * 2 / 80


def test_command_prints_the_policies_as_json(capsys, tmp_path):
    # The JSON file is compared between versions, so it must equal the output.
    output = tmp_path / 'figures.json'
    policy_comparison.run(
        deployment='repair',
        seeds=2,
        jobs=40,
        policies='first-fit,best-fit-backfill',
        json=True,
        output=str(output),
    )
    printed = json.loads(capsys.readouterr().out)
    assert printed == json.loads(output.read_bytes())
    assert set(printed[0]['spreads']) == {'first-fit', 'best-fit-backfill'}
    assert len(printed[0]['runs']['first-fit']) == 2


def test_command_names_unknown_policies():
    # A misspelt policy must be reported, not left out of the table.
    with pytest.raises(ValueError, match='unknown policies fifo'):
        policy_comparison.load_policies(['fifo'])


def test_command_loads_another_scheduler_version(monkeypatch, tmp_path):
    # An earlier version of the scheduler is loaded from a module outside the
    # package, for comparison.
    source = 'from bench import baselines\nScheduler = baselines.FirstFit\n'
    (tmp_path / 'earlier_version.py').write_text(source)
    monkeypatch.syspath_prepend(tmp_path)
    policies = policy_comparison.load_policies(
        ['first-fit'], 'earlier_version'
    )
    report = policy_comparison.compare('repair', policies, [0], jobs_count=30)
    assert report.runs['earlier_version'] == report.runs['first-fit']


def test_unknown_decisions_are_rejected():
    # If unknown decisions were ignored, an earlier scheduler that returns its
    # own types would seem to decide nothing.
    class Foreign(baselines.FirstFit):
        def decide(self, now):
            return ['place']

    trace = traces.make_trace('repair', 1, jobs_count=5)
    with pytest.raises(replay.ReplayError, match='unknown decision'):
        replay.replay_trace(trace, Foreign)
