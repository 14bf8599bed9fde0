"""Measures time and memory of a scheduling policy at three fleet sizes."""

from __future__ import annotations

import itertools
import math
import random
import sys
import tracemalloc
from typing import TYPE_CHECKING

import fire
import msgspec

from bench import cost_driver
from bench import decisions as policy_comparison
from bench import fleets
from bench import replay
from bench import traces
from damaskpin.model import config as configs

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from damaskpin.model import job as jobs

FLEET_SIZES = (10, 100, 1500)
FILL_TASKS = 12_000
BURST_JOBS = 2_000
CANCELLED_JOBS = 1_000
FINISHED_JOBS = 300
DAY_JOBS = 1_900
DAY_SECONDS = 24 * 3600.0
# Limits: a longer call of ``decide`` delays a heartbeat, and the share of a
# core is the budget of a whole daemon.
MAX_CALL_SECONDS = 0.25
MAX_CORE_SHARE = 0.046

# Number of racks by accelerators of each worker, 100 workers in all.
_MEDIUM_RACKS = {2: 16, 4: 4}
_MEDIUM_GUARANTEES = 4


class FleetCost(msgspec.Struct, frozen=True):
    """Costs of a policy at one fleet size.

    :ivar workers: number of workers.
    :ivar accelerators: number of accelerators.
    :ivar running: jobs that run after the fill phase.
    :ivar waiting: jobs that wait after the fill phase.
    :ivar phases: processor times by name of the phase.
    :ivar memory: bytes that the scheduler holds after the burst phase.
    """

    workers: int
    accelerators: int
    running: int
    waiting: int
    phases: dict[str, cost_driver.PhaseTimes]
    memory: int


class DayCost(msgspec.Struct, frozen=True):
    """Costs of a policy on a replayed day at design size.

    :ivar jobs: number of jobs.
    :ivar calls: number of calls of ``decide``.
    :ivar span: simulated seconds.
    :ivar processor: processor seconds of all calls.
    :ivar longest: processor seconds of the longest call of ``decide``.
    :ivar share: processor time of all calls as a share of a core, scaled to
        a day with 1,900 jobs.
    """

    jobs: int
    calls: int
    span: float
    processor: float
    longest: float
    share: float


class Report(msgspec.Struct, frozen=True):
    """Costs of a policy at all fleet sizes.

    :ivar slopes: exponents of the growth of the mean ``decide`` time with the
        number of workers, between each size and the next.
    """

    policy: str
    costs: list[FleetCost]
    slopes: list[float]
    day: DayCost | None


def measure_fleet_cost(
    factory: Callable[..., Any],
    workers: int,
    seed: int = 0,
    task_count: int = FILL_TASKS,
    burst_count: int = BURST_JOBS,
    cancel_count: int = CANCELLED_JOBS,
    finish_count: int = FINISHED_JOBS,
) -> FleetCost:
    """Measure the costs of a policy at one fleet size.

    :param factory: called with a configuration and a random number generator.
    :param workers: one of ``FLEET_SIZES``.
    :param seed: seed of the jobs.
    :param task_count: tasks of the jobs that run or wait before the burst.
    :param burst_count: number of jobs submitted at the same moment.
    :param cancel_count: number of waiting jobs cancelled at the same moment.
    :param finish_count: number of jobs that end one after another, with a
        call of ``decide`` after each.
    """
    config = _make_config(workers)
    fill_jobs, burst_jobs = _make_fill_and_burst_jobs(
        workers, seed, task_count, burst_count
    )
    running, waiting, phases = _measure_phases(
        factory,
        config,
        fill_jobs,
        burst_jobs,
        cancel_count,
        finish_count,
        seed,
    )
    tracemalloc.start()
    try:
        traced_driver = cost_driver.SchedulerDriver(factory, config, seed)
        for job in itertools.chain(fill_jobs, burst_jobs):
            traced_driver.submit(job)
        traced_driver.decide_until_settled()
        memory = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return FleetCost(
        workers=workers,
        accelerators=sum(
            rack.workers * rack.accelerators for rack in config.racks
        ),
        running=running,
        waiting=waiting,
        phases=phases,
        memory=memory,
    )


def measure_day_cost(
    factory: Callable[..., Any], seed: int = 0, jobs_count: int = DAY_JOBS
) -> DayCost:
    """Replay a day at design size and measure the cost of its decisions."""
    trace = traces.make_trace(
        'repair', seed, jobs_count, fleet=fleets.LARGE_FLEET
    )
    timed_schedulers: list[cost_driver.TimedScheduler] = []

    def make_timed(
        config: configs.Config, rng: random.Random
    ) -> cost_driver.TimedScheduler:
        timed_schedulers.append(
            cost_driver.TimedScheduler(factory(config, rng))
        )
        return timed_schedulers[0]

    result = replay.replay_trace(trace, make_timed, seed)
    per_job = timed_schedulers[0].processor / jobs_count
    return DayCost(
        jobs=jobs_count,
        calls=timed_schedulers[0].calls,
        span=result.end,
        processor=timed_schedulers[0].processor,
        longest=timed_schedulers[0].longest,
        share=per_job * DAY_JOBS / DAY_SECONDS,
    )


def run(
    policy: str = policy_comparison.SCHEDULER,
    scheduler_ref: str = '',
    seed: int = 0,
    day: bool = True,
    json: bool = False,
) -> None:
    """Measure the costs of a policy and print them.

    :param policy: name of the policy.
    :param scheduler_ref: importable module with a class ``Scheduler`` to
        measure instead.
    :param seed: seed of the jobs.
    :param day: also replay a day at design size.
    :param json: print JSON instead of a table.
    """
    if scheduler_ref:
        policy = scheduler_ref
        policies = policy_comparison.load_policies(
            ['first-fit'], scheduler_ref
        )
    else:
        policies = policy_comparison.load_policies([policy])
    factory = policies[policy]
    costs = [
        measure_fleet_cost(factory, workers, seed) for workers in FLEET_SIZES
    ]
    report = Report(
        policy,
        costs,
        [_get_growth_exponent(*pair) for pair in itertools.pairwise(costs)],
        measure_day_cost(factory, seed) if day else None,
    )
    if json:
        text = msgspec.json.format(msgspec.json.encode(report), indent=2)
        sys.stdout.write(text.decode() + '\n')
        return
    sys.stdout.write(render(report) + '\n')


def render(report: Report) -> str:
    """Render a report as text, with milliseconds and megabytes."""
    lines = [
        f'policy {report.policy}; limit of a call '
        f'{MAX_CALL_SECONDS * 1000:.0f} ms',
        f'{"workers":>8}{"phase":>10}{"calls":>7}{"events ms":>11}'
        f'{"decide ms":>11}{"mean ms":>9}{"p99 ms":>9}{"longest":>9}',
    ]
    for cost in report.costs:
        for name, phase in cost.phases.items():
            lines.append(
                f'{cost.workers:>8}{name:>10}{phase.calls:>7}'
                f'{phase.events * 1000:>11.1f}{phase.total * 1000:>11.1f}'
                f'{phase.mean * 1000:>9.2f}{phase.p99 * 1000:>9.2f}'
                f'{phase.longest * 1000:>9.2f}'
                + ('' if phase.settled else '  does not settle')
            )
        lines.append(
            f'{cost.workers:>8}  {cost.accelerators} accelerators, '
            f'{cost.running} jobs running, {cost.waiting} waiting after the '
            f'fill, {cost.memory / 1e6:.1f} MB after the burst'
        )
    slopes = ', '.join(f'{slope:.2f}' for slope in report.slopes)
    lines.append(f'exponent of the mean steady decide: {slopes}')
    if report.day is not None:
        lines.append(
            f'day of {report.day.jobs} jobs: {report.day.processor:.1f} s of '
            f'{report.day.span:.0f} s in '
            f'{report.day.calls} decisions, longest '
            f'{report.day.longest * 1000:.1f} ms, {report.day.share:.4%} of '
            f'a core (limit {MAX_CORE_SHARE:.1%})'
        )
    return '\n'.join(lines)


def _measure_phases(
    factory: Callable[..., Any],
    config: configs.Config,
    fill_jobs: list[jobs.Job],
    burst_jobs: list[jobs.Job],
    cancel_count: int,
    finish_count: int,
    seed: int,
) -> tuple[int, int, dict[str, cost_driver.PhaseTimes]]:
    rng = random.Random(seed)
    driver = cost_driver.SchedulerDriver(factory, config, seed)
    phases = {}
    for job in fill_jobs:
        driver.submit(job)
    driver.decide_until_settled()
    phases['fill'] = driver.end_phase()
    running_and_waiting = len(driver.running), len(driver.waiting)
    for _ in range(finish_count):
        if not driver.running:
            break
        driver.now += 60.0
        driver.finish_job(rng.choice(list(driver.running)))
        driver.decide()
    phases['steady'] = driver.end_phase()
    driver.now += 60.0
    for job in burst_jobs:
        driver.submit(job)
    driver.decide_until_settled()
    phases['burst'] = driver.end_phase()
    driver.now += 60.0
    count = min(cancel_count, len(driver.waiting))
    for job_id in rng.sample(list(driver.waiting), count):
        driver.cancel(job_id)
    driver.decide_until_settled()
    phases['wave'] = driver.end_phase()
    return *running_and_waiting, phases


def _make_config(workers: int) -> configs.Config:
    if workers == FLEET_SIZES[0]:
        return fleets.make_config('repair')
    config = fleets.make_config('repair', fleets.LARGE_FLEET)
    if workers == FLEET_SIZES[2]:
        return config
    if workers != FLEET_SIZES[1]:
        raise ValueError(f'workers must be one of {FLEET_SIZES}')
    region = config.racks[0].region
    data_centre = config.racks[0].data_centre
    racks = [
        rack
        for accelerators, count in _MEDIUM_RACKS.items()
        for rack in [
            rack
            for rack in config.racks
            if rack.data_centre == data_centre
            and rack.accelerators == accelerators
        ][:count]
    ]
    accounts = []
    guarantee_count = 0
    for account in config.accounts:
        guarantees = [
            guarantee
            for guarantee in account.guarantees
            if guarantee.region == region
            and guarantee_count < _MEDIUM_GUARANTEES
        ]
        guarantee_count += len(guarantees)
        accounts.append(
            msgspec.structs.replace(account, guarantees=guarantees)
        )
    return configs.Config(accounts=accounts, racks=racks, failed_workers=1)


def _make_fill_and_burst_jobs(
    workers: int, seed: int, task_count: int, burst_count: int
) -> tuple[list[jobs.Job], list[jobs.Job]]:
    """Generate the jobs of the fill phase and those of the burst phase."""
    fleet = (
        fleets.SMALL_FLEET if workers == FLEET_SIZES[0] else fleets.LARGE_FLEET
    )
    # Gangs have at least about 4 tasks on average in every trace, so this
    # number of jobs suffices.
    trace = traces.make_trace(
        'repair', seed, task_count // 4 + burst_count, fleet=fleet
    )
    burst_jobs = [trace_job.job for trace_job in trace.jobs[:burst_count]]
    fill_jobs = []
    remaining_tasks = task_count
    for trace_job in trace.jobs[burst_count:]:
        if remaining_tasks <= 0:
            break
        fill_jobs.append(trace_job.job)
        remaining_tasks -= trace_job.job.spec.accelerators
    return fill_jobs, burst_jobs


def _get_growth_exponent(first: FleetCost, second: FleetCost) -> float:
    before = first.phases['steady'].mean
    after = second.phases['steady'].mean
    return math.log(after / before) / math.log(second.workers / first.workers)


if __name__ == '__main__':
    fire.Fire(run)
