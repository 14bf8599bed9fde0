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
class Queue:
    """Distribution of the jobs of one queue.

    :ivar rate: arrivals per second.
    :ivar seconds: mean run time of a work item in seconds.
    :ivar spread: relative standard deviation of the run time between jobs.
    :ivar uneven: relative standard deviation of the run time between the work
        items of a job.
    :ivar width: mean number of work items of a job.
    :ivar largest: largest number of work items of a job.
    :ivar cpu: processor demand of a work item in thousandths of a core.
    :ivar memory: memory demand of a work item in mebibytes.
    :ivar accelerators: numbers of accelerators of a work item to draw from.
    :ivar gang: whether all work items of a step run at the same time.
    :ivar same_rack: share of the gangs that run slower on several racks.
    :ivar saving: share of the jobs that save checkpoints.
    :ivar estimate_error: largest relative error of run time estimates.
    :ivar stretch: factor of the critical path in the objective.
    :ivar allowance: seconds that the objective adds to the stretched
        critical path.
    :ivar worth: value of a job of mean size that completes in time.
    :ivar late: share of its value that a late job earns.
    :ivar filled: number of jobs in the queue when the day begins.
    """

    name: str
    priority: int
    rate: float
    seconds: float
    spread: float
    uneven: float
    width: float
    largest: int
    cpu: int
    memory: int
    accelerators: tuple[int, ...]
    gang: bool
    same_rack: float
    saving: float
    estimate_error: float
    stretch: float
    allowance: float
    worth: float
    late: float
    filled: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Workers of a deployment and the jobs that arrive.

    :ivar workers: number of workers.
    :ivar rack_size: workers of each rack.
    :ivar memory: memory of each worker in mebibytes.
    :ivar guarantees: guaranteed accelerators of each client account.
    :ivar burst: queue, factor of the arrival rate, and begin and duration in
        seconds of a burst.
    :ivar seconds: seconds during which jobs arrive.
    :ivar failing: share of the runs that fail at their end.
    """

    workers: int
    rack_size: int
    memory: int
    queues: tuple[Queue, ...]
    guarantees: dict[str, int]
    burst: tuple[str, float, float, float]
    seconds: float = 34.0
    failing: float = 0.01


@dataclasses.dataclass(slots=True)
class Drawn:
    """A randomly drawn job.

    :ivar at: time of the arrival in seconds since the begin of the day.
    :ivar queue: queue that the job belongs to.
    :ivar account: name of the client account.
    :ivar lengths: run times of the work items of each step, in seconds.
    :ivar chain: run time of the critical path in seconds.
    :ivar worth: value that the job earns if it completes in time.
    """

    id: str
    at: float
    queue: Queue
    account: str
    step: work.Step
    lengths: list[list[float]]
    chain: float
    worth: float

    def make_submission(self, accepted: float) -> work.Submission:
        """Return the submission of the job, accepted at a Unix time."""
        queue = self.queue
        terms = work.Terms(
            queue.name,
            's',
            queue.priority,
            3,
            queue.stretch,
            queue.allowance,
        )
        return work.Submission(
            self.id, self.account, 'content', (self.step,), terms, accepted
        )


def make_mix(name: str, load: float = 1.0) -> Mix:
    """Return the load mix of a deployment.

    :param name: ``repair`` or ``shortlist``.
    :param load: factor of the arrival rates.
    :raises KeyError: the deployment is unknown.
    """
    makers = {'repair': _make_repair, 'shortlist': _make_shortlist}
    return makers[name](load)


def _make_repair(load: float) -> Mix:
    queues = (
        Queue(
            'seam-scan', 1, 0.51 * load, 13.6, 0.3, 0.15, 8.0, 48,
            52_000, 140_000, (1, 2, 4, 8, 8), True, 0.6, 0.45, 0.2,
            3.0, 1.2, 3.0, 0.5, 7,
        ),
        Queue(
            'quote-draft', 0, 1.52 * load, 5.0, 0.5, 0.3, 4.7, 28,
            15_000, 39_000, (1, 2, 4, 8, 8), True, 0.8, 0.0, 0.2,
            1.5, 0.5, 4.0, 0.2,
        ),
        Queue(
            'fabric-match', 2, 0.257 * load, 19.0, 0.3, 0.3, 30.0, 180,
            11_000, 16_000, (1,), False, 0.0, 0.45, 0.5,
            3.0, 3.0, 1.0, 0.5, 5,
        ),
    )  # fmt: skip
    burst = ('quote-draft', 2.2, 3.0, 6.0)
    return Mix(77, 6, 262_144, queues, _share(0.62 * 77 * 8), burst)


def _make_shortlist(load: float) -> Mix:
    queues = (
        Queue(
            'fonetiek', 1, 0.371 * load, 17.0, 0.3, 0.15, 7.2, 43,
            52_000, 210_000, (1, 2, 4, 8, 8), True, 0.6, 0.45, 0.2,
            3.0, 1.2, 3.0, 0.3, 5,
        ),
        Queue(
            'handelsmerk', 0, 0.705 * load, 5.0, 0.5, 0.15, 5.4, 32,
            15_000, 79_000, (1, 2, 4, 8, 8), True, 0.8, 0.0, 0.9,
            1.5, 0.5, 4.0, 0.2,
        ),
        Queue(
            'kandidaat', 2, 0.254 * load, 12.2, 0.3, 0.15, 39.0, 230,
            11_000, 46_000, (1,), False, 0.0, 0.45, 0.5,
            3.0, 3.0, 1.0, 0.3, 4,
        ),
    )  # fmt: skip
    burst = ('handelsmerk', 2.2, 3.0, 6.0)
    return Mix(70, 5, 524_288, queues, _share(0.62 * 70 * 8), burst)


def _share(accelerators: float) -> dict[str, int]:
    """Divide guaranteed accelerators among client accounts of unequal size."""
    weights = [1.0 / (rank + 1) ** 0.6 for rank in range(10)]
    total = sum(weights)
    return {
        f'account-{rank}': int(accelerators * weight / total)
        for rank, weight in enumerate(weights)
    }


def add_workers(ledger: ledgers.RunLedger, mix: Mix, now: float) -> None:
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


def draw_arrivals(mix: Mix, source: random.Random) -> list[Drawn]:
    """Draw the jobs of a day and return them in order of arrival."""
    found = []
    for queue in mix.queues:
        for _ in range(queue.filled):
            found.append(_draw_job(mix, queue, 0.0, len(found), source))
        at = source.expovariate(queue.rate)
        while at < mix.seconds:
            found.append(_draw_job(mix, queue, at, len(found), source))
            rate = queue.rate
            name, factor, begin, length = mix.burst
            if name == queue.name and begin <= at < begin + length:
                rate *= factor
            at += source.expovariate(rate)
    found.sort(key=lambda drawn: drawn.at)
    return found


def _draw_job(
    mix: Mix, queue: Queue, at: float, number: int, source: random.Random
) -> Drawn:
    accounts = list(mix.guarantees)
    account = source.choices(accounts, [1 / (i + 1) for i in range(10)])[0]
    count = int(source.lognormvariate(0.0, 0.8) * queue.width * 0.73)
    count = min(max(count, 1), queue.largest)
    accelerators = source.choice(queue.accelerators)
    same_rack = queue.gang and source.random() < queue.same_rack
    if same_rack:
        # Callers request one rack only for gangs that fit into a rack.
        fits = min(
            8 // accelerators,
            128_000 // queue.cpu,
            mix.memory // queue.memory,
        )
        count = min(count, fits * mix.rack_size)
    seconds = queue.seconds * max(source.gauss(1.0, queue.spread), 0.2)
    lengths = [
        max(seconds * source.gauss(1.0, queue.uneven), 0.3)
        for _ in range(count)
    ]
    chain = lengths[0] if queue.gang else max(lengths)
    error = source.uniform(-queue.estimate_error, queue.estimate_error)
    step = work.Step(
        count=count,
        demand=work.Resources(queue.cpu, queue.memory, accelerators),
        estimate=max(seconds * (1.0 + error), 0.3),
        checkpoints=source.random() < queue.saving,
        gang=queue.gang,
        same_rack=same_rack,
    )
    size = count * seconds * step.get_core_equivalents()
    mean = queue.width * queue.seconds * (queue.cpu / 1000 + 8 * 4.6)
    worth = queue.worth * min(0.3 + 0.7 * size / mean, 4.0)
    return Drawn(
        f'{queue.name}-{number:03d}',
        at,
        queue,
        account,
        step,
        [lengths],
        chain,
        worth,
    )
