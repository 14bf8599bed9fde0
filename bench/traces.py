"""Generates seeded job traces of the two deployments."""

from __future__ import annotations

import dataclasses
import enum
import random

from bench import fleets
from bench import mixes
from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs

DEPLOYMENTS = ('shortlist', 'repair')
DEFAULT_JOBS = 240
# Offered work divided by the capacity while jobs arrive. Gangs cannot use
# every free accelerator, so queues form at a load of 1.
DEFAULT_LOAD = 1.0

_BURST_SPREAD_SECONDS = 60.0
_MIN_RUN_SECONDS = 20.0
_MAX_RUN_SECONDS = 8 * 3600.0
# A declared run time is wrong by a factor of at most 10 in either direction.
_MAX_DECLARED_ERROR_LOG10 = 1.0
# Share of the jobs whose checkpoint takes longer than the grace period of
# 2 s.
_SLOW_CHECKPOINT_SHARE = 0.2


class Fault(enum.StrEnum):
    """Kinds of faults that a trace can contain."""

    FAILING = 'failing'
    BROKEN = 'broken'
    CANCELLATIONS = 'cancellations'
    UNRUNNABLE = 'unrunnable'


class WorkerChange(enum.StrEnum):
    """Kinds of changes in the state of a worker.

    A broken worker accepts every gang and fails it.
    """

    LOST = 'lost'
    BACK = 'back'
    BROKEN = 'broken'
    REPAIRED = 'repaired'


@dataclasses.dataclass(frozen=True, slots=True)
class TraceJob:
    """A job of a trace, with facts that are hidden from the scheduler.

    :ivar submit_time: time of the submission in seconds.
    :ivar run_seconds: true run time in seconds, without interruptions.
    :ivar checkpoint_seconds: seconds that a checkpoint takes.
    :ivar cancel_at: time of the cancellation in seconds, or ``None``.
    :ivar runnable: whether a placement exists that can run the job.
    """

    submit_time: float
    job: jobs.Job
    run_seconds: float
    checkpoint_seconds: float
    cancel_at: float | None = None
    runnable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEvent:
    """A change in the state of one worker.

    :ivar time: time of the change in seconds.
    """

    time: float
    worker: str
    change: WorkerChange


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """Jobs and worker faults of a run, independent of the policy.

    :ivar horizon: time of the last possible submission in seconds.
    """

    name: str
    seed: int
    config: configs.Config
    workers: tuple[hardware.Worker, ...]
    jobs: tuple[TraceJob, ...]
    worker_events: tuple[WorkerEvent, ...]
    horizon: float


def make_trace(
    deployment: str,
    seed: int,
    jobs_count: int = DEFAULT_JOBS,
    load: float = DEFAULT_LOAD,
    fleet: str = fleets.SMALL_FLEET,
    faults: frozenset[Fault] = frozenset(),
) -> Trace:
    """Generate a job trace.

    :param deployment: ``shortlist`` or ``repair``.
    :param seed: equal arguments give equal traces.
    :param jobs_count: number of jobs that can run.
    :param load: offered work divided by the capacity until the last
        submission.
    :param fleet: ``small`` or ``large``.
    :param faults: kinds of faults to include; the jobs that can run are the
        same with and without faults.
    :returns: the trace, with jobs in order of submission.
    """
    rng = random.Random(f'{deployment}:{fleet}:{seed}')
    config = fleets.make_config(deployment, fleet)
    workers = tuple(fleets.make_workers(config))
    drawn_jobs = _draw_jobs(rng, deployment, fleet, config, jobs_count)
    work = sum(
        drawn_job.run_seconds * drawn_job.job.spec.accelerators
        for drawn_job in drawn_jobs
    )
    capacity = sum(worker.accelerators for worker in workers)
    horizon = work / (capacity * load)
    trace_jobs = [
        _set_submit_time(rng, drawn_job, horizon) for drawn_job in drawn_jobs
    ]
    fault_rng = random.Random(f'{deployment}:{fleet}:{seed}:faults')
    if Fault.CANCELLATIONS in faults:
        trace_jobs = _add_cancellations(fault_rng, trace_jobs, horizon)
    if Fault.UNRUNNABLE in faults:
        trace_jobs += _make_unrunnable_jobs(
            fault_rng, config, horizon, jobs_count // 30 + 1
        )
    trace_jobs.sort(
        key=lambda trace_job: (trace_job.submit_time, trace_job.job.id)
    )
    worker_events = _make_worker_events(fault_rng, workers, horizon, faults)
    return Trace(
        name=f'{deployment}-{fleet}',
        seed=seed,
        config=config,
        workers=workers,
        jobs=tuple(trace_jobs),
        worker_events=tuple(worker_events),
        horizon=horizon,
    )


def _draw_jobs(
    rng: random.Random,
    deployment: str,
    fleet: str,
    config: configs.Config,
    count: int,
) -> list[TraceJob]:
    """Draw random jobs, with submission times as shares of the horizon."""
    kinds = mixes.JOB_KINDS[deployment]
    accounts = [account.name for account in config.accounts]
    account_biases = {name: rng.uniform(-0.6, 0.6) for name in accounts}
    burst_shares = {
        kind.account: _draw_burst_shares(rng, kind) for kind in kinds
    }
    drawn_jobs = []
    for index in range(count):
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        gang_sizes = kind.gang_sizes
        median_run_seconds = kind.median_run_seconds
        account = kind.account
        if fleet == fleets.LARGE_FLEET:
            gang_sizes = mixes.LARGE_GANG_SIZES[kind.account]
            median_run_seconds *= mixes.LARGE_RUN_TIME_FACTOR
            account = rng.choice(
                [name for name in accounts if name.startswith(kind.account)]
            )
        size = rng.choices(list(gang_sizes), list(gang_sizes.values()))[0]
        true_run_seconds = median_run_seconds * rng.lognormvariate(0.0, 0.8)
        true_run_seconds = min(
            max(true_run_seconds, _MIN_RUN_SECONDS), _MAX_RUN_SECONDS
        )
        error_log10 = min(
            max(
                rng.gauss(account_biases[account], 0.4),
                -_MAX_DECLARED_ERROR_LOG10,
            ),
            _MAX_DECLARED_ERROR_LOG10,
        )
        spec = jobs.JobSpec(
            accelerators=size,
            adjacency=fleets.choose_adjacency(size, fleet),
            run_seconds=max(1.0, true_run_seconds * 10**error_log10),
            priority=kind.priority,
            shape=_choose_shape(kind, size, config, account),
        )
        checkpoint = rng.uniform(0.3, 1.8)
        if rng.random() < _SLOW_CHECKPOINT_SHARE:
            checkpoint = rng.uniform(3.0, 20.0)
        submit_share = rng.choice(burst_shares[kind.account])
        if submit_share is None:
            submit_share = rng.uniform(*kind.submit_window)
        drawn_jobs.append(
            TraceJob(
                submit_time=submit_share,
                job=jobs.Job(f'j{index:05d}', account, spec),
                run_seconds=true_run_seconds,
                checkpoint_seconds=checkpoint,
            )
        )
    return drawn_jobs


def _draw_burst_shares(
    rng: random.Random, kind: mixes.JobKind
) -> list[float | None]:
    if not kind.bursts:
        return [None]
    return [rng.uniform(*kind.submit_window) for _ in range(kind.bursts)]


def _choose_shape(
    kind: mixes.JobKind, size: int, config: configs.Config, account: str
) -> str | None:
    if kind.shape is None:
        return None
    guarantee = next(
        candidate.guarantees[0]
        for candidate in config.accounts
        if candidate.name == account
    )
    if size == guarantee.accelerators:
        return kind.shape
    if kind.shape_for_smaller_gangs and size < guarantee.accelerators:
        return kind.shape
    return None


def _set_submit_time(
    rng: random.Random, drawn_job: TraceJob, horizon: float
) -> TraceJob:
    jitter = rng.uniform(0.0, _BURST_SPREAD_SECONDS)
    return dataclasses.replace(
        drawn_job,
        submit_time=round(drawn_job.submit_time * horizon + jitter, 3),
    )


def _add_cancellations(
    rng: random.Random, trace_jobs: list[TraceJob], horizon: float
) -> list[TraceJob]:
    """Cancel half of the recently submitted jobs at the same moment."""
    cancel_time = horizon * rng.uniform(0.4, 0.7)
    result = []
    for trace_job in trace_jobs:
        recent = 0 <= cancel_time - trace_job.submit_time < 0.2 * horizon
        if recent and rng.random() < 0.5:
            trace_job = dataclasses.replace(trace_job, cancel_at=cancel_time)
        result.append(trace_job)
    return result


def _make_unrunnable_jobs(
    rng: random.Random, config: configs.Config, horizon: float, count: int
) -> list[TraceJob]:
    """Generate jobs that no placement can run."""
    account = config.accounts[0].name
    result = []
    for index in range(count):
        oversized = jobs.JobSpec(
            accelerators=100, adjacency=hardware.Adjacency.WORKER
        )
        unknown = jobs.JobSpec(accelerators=1)
        job_account, spec = rng.choice(
            [(account, oversized), ('no-such-account', unknown)]
        )
        result.append(
            TraceJob(
                submit_time=round(rng.uniform(0.0, horizon), 3),
                job=jobs.Job(f'u{index:05d}', job_account, spec),
                run_seconds=60.0,
                checkpoint_seconds=1.0,
                runnable=False,
            )
        )
    return result


def _make_worker_events(
    rng: random.Random,
    workers: tuple[hardware.Worker, ...],
    horizon: float,
    faults: frozenset[Fault],
) -> list[WorkerEvent]:
    """Draw outages of at most one worker in each data centre.

    Guarantees allow for one failed worker in each data centre.
    """
    data_centres = list(
        dict.fromkeys(worker.data_centre for worker in workers)
    )
    rng.shuffle(data_centres)
    affected_workers = [
        rng.choice([w.name for w in workers if w.data_centre == data_centre])
        for data_centre in data_centres
    ]
    worker_events = []
    if Fault.FAILING in faults:
        for name in affected_workers[1:]:
            start = horizon * rng.uniform(0.1, 0.8)
            end = start + rng.uniform(600.0, 3600.0)
            worker_events.append(WorkerEvent(start, name, WorkerChange.LOST))
            worker_events.append(WorkerEvent(end, name, WorkerChange.BACK))
    if Fault.BROKEN in faults:
        start = horizon * rng.uniform(0.1, 0.4)
        end = start + 0.3 * horizon
        worker_events.append(
            WorkerEvent(start, affected_workers[0], WorkerChange.BROKEN)
        )
        worker_events.append(
            WorkerEvent(end, affected_workers[0], WorkerChange.REPAIRED)
        )
    worker_events.sort(
        key=lambda event: (event.time, event.worker, event.change)
    )
    return worker_events
