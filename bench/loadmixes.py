"""Load mixes: the workers and job arrivals of simulated days."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work
from damaskpin.peer import orders

if TYPE_CHECKING:
    import random

    from damaskpin.coordinator import ledger as ledgers


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """Distribution of the jobs of one queue.

    :ivar rate: arrivals per second.
    :ivar mean_seconds: mean run time of a work item in seconds.
    :ivar job_spread: relative standard deviation of the run time between jobs.
    :ivar item_spread: relative standard deviation of the run time between the
        work items of a job.
    :ivar mean_items: mean number of work items of a job.
    :ivar max_items: largest number of work items of a job.
    :ivar cpu: processor demand of a work item in thousandths of a core.
    :ivar memory: memory demand of a work item in mebibytes.
    :ivar accelerators: numbers of accelerators of a work item to draw from.
    :ivar gang: whether all work items of a step run at the same time.
    :ivar same_rack: share of the gangs that run slower on several racks.
    :ivar checkpoint_share: share of the jobs that save checkpoints.
    :ivar estimate_error: largest relative error of run time estimates.
    :ivar stretch: factor of the critical path in the objective.
    :ivar allowance: seconds that the objective adds to the stretched
        critical path.
    :ivar value: value of a job of mean size that completes in time.
    :ivar late_value_share: share of its value that a late job earns.
    :ivar initial_jobs: number of jobs in the queue when the day begins.
    """

    name: str
    priority: int
    rate: float
    mean_seconds: float
    job_spread: float
    item_spread: float
    mean_items: float
    max_items: int
    cpu: int
    memory: int
    accelerators: tuple[int, ...]
    gang: bool
    same_rack: float
    checkpoint_share: float
    estimate_error: float
    stretch: float
    allowance: float
    value: float
    late_value_share: float
    initial_jobs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMix:
    """Workers of a deployment and the jobs that arrive.

    :ivar workers: number of workers.
    :ivar rack_size: workers of each rack.
    :ivar memory: memory of each worker in mebibytes.
    :ivar guarantees: guaranteed accelerators of each client account.
    :ivar burst: queue, factor of the arrival rate, and begin and duration in
        seconds of a burst.
    :ivar arrival_seconds: seconds during which jobs arrive.
    :ivar failure_share: share of the runs that fail at their end.
    :ivar attempts: failed runs of a work item after which its job fails.
    """

    workers: int
    rack_size: int
    memory: int
    queues: tuple[QueueLoad, ...]
    guarantees: dict[str, int]
    burst: tuple[str, float, float, float]
    arrival_seconds: float = 34.0
    failure_share: float = 0.01
    attempts: int = 3


@dataclasses.dataclass(slots=True)
class DrawnJob:
    """A randomly drawn job.

    :ivar arrival: time of the arrival in seconds since the begin of the day.
    :ivar queue: queue that the job belongs to.
    :ivar account: name of the client account.
    :ivar durations: run times of the work items of each step, in seconds.
    :ivar critical_path_seconds: run time of the critical path in seconds.
    :ivar value: value that the job earns if it completes in time.
    :ivar attempts: failed runs of a work item after which the job fails.
    """

    id: str
    arrival: float
    queue: QueueLoad
    account: str
    step: work.Step
    durations: list[list[float]]
    critical_path_seconds: float
    value: float
    attempts: int

    def make_submission(self, accepted: float) -> work.Submission:
        """Return the submission of the job, accepted at a Unix time."""
        queue = self.queue
        queue_settings = work.Terms(
            queue.name,
            's',
            queue.priority,
            self.attempts,
            queue.stretch,
            queue.allowance,
        )
        return work.Submission(
            self.id,
            self.account,
            'content',
            (self.step,),
            queue_settings,
            accepted,
        )


def make_mix(name: str, load: float = 1.0) -> LoadMix:
    """Return the load mix of a deployment.

    :param name: ``repair``, ``shortlist`` or ``wide``.
    :param load: factor of the arrival rates.
    :raises KeyError: the deployment is unknown.
    """
    factories = {
        'repair': _make_repair,
        'shortlist': _make_shortlist,
        'wide': _make_wide,
    }
    return factories[name](load)


def _make_repair(load: float) -> LoadMix:
    queues = (
        QueueLoad(
            'seam-scan', 1, 0.51 * load, 13.6, 0.3, 0.15, 8.0, 48,
            52_000, 140_000, (1, 2, 4, 8, 8), True, 0.6, 0.45, 0.2,
            3.0, 1.2, 3.0, 0.5, 7,
        ),
        QueueLoad(
            'quote-draft', 0, 1.52 * load, 5.0, 0.5, 0.3, 4.7, 28,
            15_000, 39_000, (1, 2, 4, 8, 8), True, 0.8, 0.0, 0.2,
            1.5, 0.5, 4.0, 0.2,
        ),
        QueueLoad(
            'fabric-match', 2, 0.257 * load, 19.0, 0.3, 0.3, 30.0, 180,
            11_000, 16_000, (1,), False, 0.0, 0.45, 0.5,
            3.0, 3.0, 1.0, 0.5, 5,
        ),
    )  # fmt: skip
    burst = ('quote-draft', 2.2, 3.0, 6.0)
    return LoadMix(
        77, 6, 262_144, queues, _split_guarantees(0.62 * 77 * 8), burst
    )


def _make_shortlist(load: float) -> LoadMix:
    queues = (
        QueueLoad(
            'fonetiek', 1, 0.371 * load, 17.0, 0.3, 0.15, 7.2, 43,
            52_000, 210_000, (1, 2, 4, 8, 8), True, 0.6, 0.45, 0.2,
            3.0, 1.2, 3.0, 0.3, 5,
        ),
        QueueLoad(
            'handelsmerk', 0, 0.705 * load, 5.0, 0.5, 0.15, 5.4, 32,
            15_000, 79_000, (1, 2, 4, 8, 8), True, 0.8, 0.0, 0.9,
            1.5, 0.5, 4.0, 0.2,
        ),
        QueueLoad(
            'kandidaat', 2, 0.254 * load, 12.2, 0.3, 0.15, 39.0, 230,
            11_000, 46_000, (1,), False, 0.0, 0.45, 0.5,
            3.0, 3.0, 1.0, 0.3, 4,
        ),
    )  # fmt: skip
    burst = ('handelsmerk', 2.2, 3.0, 6.0)
    return LoadMix(
        70, 5, 524_288, queues, _split_guarantees(0.62 * 70 * 8), burst
    )


def _make_wide(load: float) -> LoadMix:
    queues = (
        QueueLoad(
            'fonetiek', 1, 0.51 * load, 17.0, 0.3, 0.15, 13.0, 76,
            52_000, 210_000, (1, 2, 4, 8, 8), True, 0.6, 0.45, 0.2,
            3.0, 1.2, 3.0, 0.3, 7,
        ),
        QueueLoad(
            'handelsmerk', 0, 1.63 * load, 5.0, 0.5, 0.15, 5.3, 32,
            15_000, 79_000, (1, 2, 4, 8, 8), True, 0.8, 0.0, 0.9,
            1.5, 0.5, 4.0, 0.2,
        ),
        QueueLoad(
            'kandidaat', 2, 0.625 * load, 12.2, 0.3, 0.15, 38.0, 230,
            11_000, 46_000, (1,), False, 0.0, 0.45, 0.5,
            3.0, 3.0, 1.0, 0.3, 9,
        ),
    )  # fmt: skip
    burst = ('handelsmerk', 2.2, 3.0, 6.0)
    return LoadMix(
        160,
        8,
        524_288,
        queues,
        _split_guarantees(0.62 * 160 * 8),
        burst,
        attempts=2,
    )


def _split_guarantees(accelerators: float) -> dict[str, int]:
    """Divide guaranteed accelerators among client accounts of unequal size."""
    weights = [1.0 / (rank + 1) ** 0.6 for rank in range(10)]
    total = sum(weights)
    return {
        f'account-{rank}': int(accelerators * weight / total)
        for rank, weight in enumerate(weights)
    }


def add_workers(ledger: ledgers.RunLedger, mix: LoadMix, now: float) -> None:
    """Add the workers of a load mix to a ledger, idle and connected."""
    capacity = work.Resources(128_000, mix.memory, 8)
    for index in range(mix.workers):
        lifetime = work.Lifetime(f'w{index}', index + 1)
        worker = ledger.find_worker(now, f'agent-{index}', lifetime)
        rack = f'r{index // mix.rack_size}'
        profile = orders.WorkerProfile(
            lifetime, 's', 'dc', rack, ('a', rack), capacity, False, 0.0
        )
        worker.set_profile(profile)
        worker.has_run_lists = True
        worker.last_report_time = now


def draw_arrivals(mix: LoadMix, rng: random.Random) -> list[DrawnJob]:
    """Draw the jobs of a day and return them in order of arrival."""
    drawn_jobs = []
    for queue in mix.queues:
        for _ in range(queue.initial_jobs):
            drawn_jobs.append(_draw_job(mix, queue, 0.0, len(drawn_jobs), rng))
        arrival = rng.expovariate(queue.rate)
        while arrival < mix.arrival_seconds:
            drawn_jobs.append(
                _draw_job(mix, queue, arrival, len(drawn_jobs), rng)
            )
            rate = queue.rate
            name, factor, begin, length = mix.burst
            if name == queue.name and begin <= arrival < begin + length:
                rate *= factor
            arrival += rng.expovariate(rate)
    drawn_jobs.sort(key=lambda drawn_job: drawn_job.arrival)
    return drawn_jobs


def _draw_job(
    mix: LoadMix,
    queue: QueueLoad,
    arrival: float,
    index: int,
    rng: random.Random,
) -> DrawnJob:
    accounts = list(mix.guarantees)
    account = rng.choices(accounts, [1 / (i + 1) for i in range(10)])[0]
    count = int(rng.lognormvariate(0.0, 0.8) * queue.mean_items * 0.73)
    count = min(max(count, 1), queue.max_items)
    accelerators = rng.choice(queue.accelerators)
    same_rack = queue.gang and rng.random() < queue.same_rack
    if same_rack:
        # Callers request one rack only for gangs that fit into a rack.
        items_per_worker = min(
            8 // accelerators,
            128_000 // queue.cpu,
            mix.memory // queue.memory,
        )
        count = min(count, items_per_worker * mix.rack_size)
    run_seconds = queue.mean_seconds * max(
        rng.gauss(1.0, queue.job_spread), 0.2
    )
    durations = [
        max(run_seconds * rng.gauss(1.0, queue.item_spread), 0.3)
        for _ in range(count)
    ]
    critical_path_seconds = durations[0] if queue.gang else max(durations)
    relative_error = rng.uniform(-queue.estimate_error, queue.estimate_error)
    step = work.Step(
        count=count,
        demand=work.Resources(queue.cpu, queue.memory, accelerators),
        estimate=max(run_seconds * (1.0 + relative_error), 0.3),
        checkpoints=rng.random() < queue.checkpoint_share,
        gang=queue.gang,
        same_rack=same_rack,
    )
    core_seconds = count * run_seconds * step.get_core_equivalents()
    mean_core_seconds = (
        queue.mean_items * queue.mean_seconds * (queue.cpu / 1000 + 8 * 4.6)
    )
    value = queue.value * min(
        0.3 + 0.7 * core_seconds / mean_core_seconds, 4.0
    )
    return DrawnJob(
        f'{queue.name}-{index:03d}',
        arrival,
        queue,
        account,
        step,
        [durations],
        critical_path_seconds,
        value,
        mix.attempts,
    )
