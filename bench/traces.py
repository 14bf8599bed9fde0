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

    :ivar at: time of submission in seconds.
    :ivar run_seconds: true run time in seconds, without interruptions.
    :ivar checkpoint_seconds: seconds that a checkpoint takes.
    :ivar cancel_at: time of the cancellation in seconds, or ``None``.
    :ivar runnable: whether a placement exists that can run the job.
    """

    at: float
    job: jobs.Job
    run_seconds: float
    checkpoint_seconds: float
    cancel_at: float | None = None
    runnable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEvent:
    """A change in the state of one worker.

    :ivar at: time of the change in seconds.
    """

    at: float
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
    fleet: str = fleets.SMALL,
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
    drafts = _draft_jobs(rng, deployment, fleet, config, jobs_count)
    work = sum(
        draft.run_seconds * draft.job.spec.accelerators for draft in drafts
    )
    capacity = sum(worker.accelerators for worker in workers)
    horizon = work / (capacity * load)
    trace_jobs = [_place_in_time(rng, draft, horizon) for draft in drafts]
    fault_rng = random.Random(f'{deployment}:{fleet}:{seed}:faults')
    if Fault.CANCELLATIONS in faults:
        trace_jobs = _add_cancellations(fault_rng, trace_jobs, horizon)
    if Fault.UNRUNNABLE in faults:
        trace_jobs += _make_unrunnable(
            fault_rng, config, horizon, jobs_count // 30 + 1
        )
    trace_jobs.sort(key=lambda entry: (entry.at, entry.job.id))
    events = _make_worker_events(fault_rng, workers, horizon, faults)
    return Trace(
        name=f'{deployment}-{fleet}',
        seed=seed,
        config=config,
        workers=workers,
        jobs=tuple(trace_jobs),
        worker_events=tuple(events),
        horizon=horizon,
    )


def _draft_jobs(
    rng: random.Random,
    deployment: str,
    fleet: str,
    config: configs.Config,
    count: int,
) -> list[TraceJob]:
    """Draw random jobs, with submission times as shares of the horizon."""
    kinds = mixes.SMALL_KINDS[deployment]
    accounts = [account.name for account in config.accounts]
    biases = {name: rng.uniform(-0.6, 0.6) for name in accounts}
    arrivals = {kind.account: _draw_bursts(rng, kind) for kind in kinds}
    drafts = []
    for index in range(count):
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        sizes = kind.sizes
        median = kind.median
        account = kind.account
        if fleet == fleets.LARGE:
            sizes = mixes.LARGE_SIZES[kind.account]
            median *= mixes.LARGE_RUN_FACTOR
            account = rng.choice(
                [name for name in accounts if name.startswith(kind.account)]
            )
        size = rng.choices(list(sizes), list(sizes.values()))[0]
        run = median * rng.lognormvariate(0.0, 0.8)
        run = min(max(run, _MIN_RUN_SECONDS), _MAX_RUN_SECONDS)
        error = min(
            max(rng.gauss(biases[account], 0.4), -_MAX_DECLARED_ERROR_LOG10),
            _MAX_DECLARED_ERROR_LOG10,
        )
        spec = jobs.JobSpec(
            accelerators=size,
            adjacency=fleets.choose_adjacency(size, fleet),
            run_seconds=max(1.0, run * 10**error),
            priority=kind.priority,
            shape=_choose_shape(kind, size, config, account),
        )
        checkpoint = rng.uniform(0.3, 1.8)
        if rng.random() < _SLOW_CHECKPOINT_SHARE:
            checkpoint = rng.uniform(3.0, 20.0)
        share = rng.choice(arrivals[kind.account])
        if share is None:
            share = rng.uniform(*kind.arrival)
        drafts.append(
            TraceJob(
                at=share,
                job=jobs.Job(f'j{index:05d}', account, spec),
                run_seconds=run,
                checkpoint_seconds=checkpoint,
            )
        )
    return drafts


def _draw_bursts(rng: random.Random, kind: mixes.Kind) -> list[float | None]:
    if not kind.bursts:
        return [None]
    return [rng.uniform(*kind.arrival) for _ in range(kind.bursts)]


def _choose_shape(
    kind: mixes.Kind, size: int, config: configs.Config, account: str
) -> str | None:
    if kind.shape is None:
        return None
    guarantee = next(
        entry.guarantees[0]
        for entry in config.accounts
        if entry.name == account
    )
    if size == guarantee.accelerators:
        return kind.shape
    if kind.shape_up_to and size < guarantee.accelerators:
        return kind.shape
    return None


def _place_in_time(
    rng: random.Random, draft: TraceJob, horizon: float
) -> TraceJob:
    jitter = rng.uniform(0.0, _BURST_SPREAD_SECONDS)
    return dataclasses.replace(draft, at=round(draft.at * horizon + jitter, 3))


def _add_cancellations(
    rng: random.Random, entries: list[TraceJob], horizon: float
) -> list[TraceJob]:
    """Cancel half of the recently submitted jobs at the same moment."""
    wave = horizon * rng.uniform(0.4, 0.7)
    result = []
    for entry in entries:
        recent = 0 <= wave - entry.at < 0.2 * horizon
        if recent and rng.random() < 0.5:
            entry = dataclasses.replace(entry, cancel_at=wave)
        result.append(entry)
    return result


def _make_unrunnable(
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
        owner, spec = rng.choice(
            [(account, oversized), ('no-such-account', unknown)]
        )
        result.append(
            TraceJob(
                at=round(rng.uniform(0.0, horizon), 3),
                job=jobs.Job(f'u{index:05d}', owner, spec),
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
    centres = list(dict.fromkeys(worker.data_centre for worker in workers))
    rng.shuffle(centres)
    chosen = [
        rng.choice([w.name for w in workers if w.data_centre == centre])
        for centre in centres
    ]
    events = []
    if Fault.FAILING in faults:
        for name in chosen[1:]:
            start = horizon * rng.uniform(0.1, 0.8)
            end = start + rng.uniform(600.0, 3600.0)
            events.append(WorkerEvent(start, name, WorkerChange.LOST))
            events.append(WorkerEvent(end, name, WorkerChange.BACK))
    if Fault.BROKEN in faults:
        start = horizon * rng.uniform(0.1, 0.4)
        end = start + 0.3 * horizon
        events.append(WorkerEvent(start, chosen[0], WorkerChange.BROKEN))
        events.append(WorkerEvent(end, chosen[0], WorkerChange.REPAIRED))
    events.sort(key=lambda event: (event.at, event.worker, event.change))
    return events
