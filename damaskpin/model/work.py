"""Jobs with their steps, work items and runs."""

from __future__ import annotations

import enum

import msgspec

# Number of cores that cost as much as one accelerator by the installation's
# prices.
CORES_PER_ACCELERATOR = 8


class JobState(enum.StrEnum):
    """State of a job as shown to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELED = 'canceled'

    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resource capacity of a worker, or resource demand of a work item.

    :ivar cpu: thousandths of a core.
    :ivar memory: mebibytes.
    :ivar accelerators: number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of two resource vectors."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, in which single resources may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other: Resources) -> bool:
        """Return whether a resource demand fits into this capacity."""
        return (
            self.cpu >= other.cpu
            and self.memory >= other.memory
            and self.accelerators >= other.accelerators
        )


def count_fits(capacity: Resources, demand: Resources) -> int:
    """Return how many times a demand fits into a capacity."""
    fits = []
    if demand.cpu:
        fits.append(capacity.cpu // demand.cpu)
    if demand.memory:
        fits.append(capacity.memory // demand.memory)
    if demand.accelerators:
        fits.append(capacity.accelerators // demand.accelerators)
    return min(fits, default=1_000_000)


class Step(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """A group of equal work items of a job that become ready together.

    :ivar count: number of work items.
    :ivar demand: resources that each work item needs.
    :ivar estimate: estimated run time of a work item in seconds.
    :ivar after: indexes of the steps that must be completed first.
    :ivar checkpoints: whether the work items save checkpoints.
    :ivar gang: whether all work items must run together.
    :ivar same_rack: whether the gang runs slower if spread over several racks.
    :ivar label: label that the worker must have; empty for any worker.
    :ivar data_rack: rack that stores the input data; empty for none.
    :ivar per_worker: maximum number of the step's work items on one worker; 0
        for no limit.
    :ivar copies: whether copies of a work item may run in parallel.
    :ivar lasting: whether the work items run until the job is cancelled.
    :ivar image: name of the program; work items with equal images are expected
        to perform alike.
    :ivar latency_target: latency target in milliseconds; 0 for none.
    :ivar fills: whether the work items use only idle processor time, so that
        no cores are reserved for them.
    :ivar tolerated_absences: number of ``lasting`` work items that may be
        absent (not running) at the same time.
    """

    count: int
    demand: Resources
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ''
    latency_target: int = 0
    fills: bool = False
    tolerated_absences: int = 0

    def get_slot(self, index: int) -> int:
        """Return the checkpoint and failure slot of a work item.

        All work items of a gang share slot 0.
        """
        return 0 if self.gang else index

    def get_core_equivalents(self) -> float:
        """Return the cost of a work item in cores, including accelerators."""
        cores = self.demand.cpu / 1000
        return cores + CORES_PER_ACCELERATOR * self.demand.accelerators

    def get_reservation(self) -> Resources:
        """Return the resources that a work item reserves on its worker."""
        if not self.fills:
            return self.demand
        return Resources(0, self.demand.memory, self.demand.accelerators)


class Schedule(msgspec.Struct, frozen=True):
    """Due times of a job that runs repeatedly.

    :ivar first: Unix time of the first occurrence in seconds.
    :ivar period: seconds between occurrences.
    :ivar count: number of occurrences.
    """

    first: float
    period: float
    count: int

    def get_due_time(self, occurrence: int) -> float:
        """Return the Unix time in seconds at which an occurrence is due."""
        return self.first + occurrence * self.period


class AdvisorTimes(msgspec.Struct, frozen=True):
    """Response and validity times of the advisor that approves workers.

    :ivar decide: seconds that the advisor needs to answer a request.
    :ivar each: seconds added to the answer for each worker in the request.
    :ivar valid: seconds for which a ticket (the advisor's permission to use a
        worker) is valid.
    """

    decide: float
    each: float
    valid: float


class Terms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Queue settings that a job keeps from its acceptance on.

    :ivar queue: name of the queue.
    :ivar service: service whose workers run the job.
    :ivar priority: priority class; 0 is the highest and may preempt others.
    :ivar attempts: failed runs of a work item after which the job fails.
    :ivar stretch: target completion time as a multiple of the critical path.
    :ivar allowance: seconds added to the target completion time.
    :ivar advice: time limits of the advisor that must approve each worker;
        ``None`` if no approval is needed.
    """

    queue: str
    service: str
    priority: int
    attempts: int
    stretch: float = 1.0
    allowance: float = 0.0
    advice: AdvisorTimes | None = None


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """Immutable description of a job as accepted.

    :ivar id: identifier chosen by the caller.
    :ivar account: client account; empty for anonymous callers.
    :ivar content: text passed to each work item.
    :ivar steps: steps of the job.
    :ivar terms: queue settings at the time of acceptance.
    :ivar accepted: Unix time of the acceptance in seconds.
    :ivar schedule: due times; ``None`` if the job runs once.
    """

    id: str
    account: str
    content: str
    steps: tuple[Step, ...]
    terms: Terms
    accepted: float
    schedule: Schedule | None = None

    def count_occurrences(self) -> int:
        """Return the number of times that the steps run."""
        return 1 if self.schedule is None else self.schedule.count

    def get_critical_path_duration(self) -> float:
        """Return the estimated duration of the critical path in seconds."""
        ends: list[float] = []
        for step in self.steps:
            start = max((ends[i] for i in step.after), default=0.0)
            ends.append(start + step.estimate)
        return max(ends, default=0.0)


class Item(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a work item.

    :ivar job: id of the job.
    :ivar occurrence: index of the scheduled occurrence; 0 for a job without a
        schedule.
    :ivar step: index of the step.
    :ivar index: index of the work item within the step.
    """

    job: str
    occurrence: int
    step: int
    index: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One execution attempt of a work item.

    :ivar item: the work item.
    :ivar number: number of the attempt; it increases with each attempt.
    """

    item: Item
    number: int

    def get_gang_run(self) -> GangRun:
        """Return the execution attempt of the gang that contains this run."""
        item = self.item
        return GangRun(item.job, item.occurrence, item.step, self.number)


class GangRun(msgspec.Struct, frozen=True, array_like=True):
    """One execution attempt of a gang.

    The attempt consists of the runs of a step that have the same number.
    """

    job: str
    occurrence: int
    step: int
    number: int


class Lifetime(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one worker process, from its start to its end.

    A restarted worker may keep its id, so the start time distinguishes its
    processes.

    :ivar worker: id of the worker.
    :ivar born: Unix time of the start of the process in milliseconds.
    """

    worker: str
    born: int


class Ending(enum.StrEnum):
    """Reason why a run ended, as listed by its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A running run as listed by its worker.

    :ivar checkpoint: text of the latest checkpoint, from which another run of
        the work item can resume; empty for none.
    :ivar percent: percentage of full speed or of progress, as reported by the
        worker.
    """

    run: Run
    checkpoint: str
    percent: float


# Number of ended runs that a worker returns at a time. The others follow once
# these are acknowledged.
MAX_LISTED_ENDS = 500


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An ended run as listed by its worker.

    :ivar serial: sequence number of the ended run among all runs that ended in
        the same worker process, in the order of their ends, from 1.
    :ivar run: the run that ended.
    :ivar ending: reason why the run ended.
    :ivar checkpoint: text of the latest checkpoint, from which another run of
        the work item can resume; empty for none.
    """

    serial: int
    run: Run
    ending: Ending
    checkpoint: str
