"""Jobs of several steps, their work items and runs."""

from __future__ import annotations

import enum

import msgspec

# Cores that an accelerator counts as, as the installation's prices have it.
CORES_PER_ACCELERATOR = 8


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELED = 'canceled'

    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of a worker or demand of a work item.

    :ivar cpu: thousandths of a core.
    :ivar memory: mebibytes.
    :ivar accelerators: number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference; a field may become negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: Resources) -> bool:
        """Return whether a demand fits."""
        return (
            self.cpu >= other.cpu
            and self.memory >= other.memory
            and self.accelerators >= other.accelerators
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Equal work items that become ready together.

    :ivar count: number of work items.
    :ivar demand: resources of each work item.
    :ivar estimate: rough run time of a work item in seconds.
    :ivar after: indexes of the steps that must be done first.
    :ivar checkpoints: whether the work items save their progress.
    :ivar gang: whether all work items must run together.
    :ivar same_rack: whether the gang is slow on more than one rack.
    :ivar label: label that the worker must have; empty for any.
    :ivar data_rack: rack that holds the data; empty for none.
    :ivar per_worker: work items on one worker at most; 0 for no limit.
    :ivar copies: whether copies of a work item may run in parallel.
    :ivar lasting: whether the work items run until the job is cancelled.
    :ivar image: name of the program; equal images behave alike.
    :ivar latency_target: milliseconds; 0 for none.
    :ivar fills: whether the processor demand is not reserved.
    :ivar tolerated_absences: lasting work items that may be away at a time.
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
        """Return the slot of a work item; a gang shares one."""
        return 0 if self.gang else index

    def get_cores(self) -> float:
        """Return the cores of a work item, accelerators included."""
        cores = self.demand.cpu / 1000
        return cores + CORES_PER_ACCELERATOR * self.demand.accelerators

    def get_reserved(self) -> Resources:
        """Return what a work item takes of a worker's capacity."""
        if not self.fills:
            return self.demand
        return Resources(0, self.demand.memory, self.demand.accelerators)


class Schedule(msgspec.Struct, frozen=True):
    """Due times of a job that runs several times.

    :ivar first: Unix time of the first occurrence in seconds.
    :ivar period: seconds between occurrences.
    :ivar count: number of occurrences.
    """

    first: float
    period: float
    count: int

    def get_due(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence is due."""
        return self.first + occurrence * self.period


class Advice(msgspec.Struct, frozen=True):
    """Time that an advisor takes, and for which its word holds, in seconds.

    :ivar decide: time of an answer.
    :ivar each: time added for each worker named.
    :ivar valid: time for which a ticket may be used.
    """

    decide: float
    each: float
    valid: float


class Terms(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a queue promised to a job when it was accepted.

    :ivar queue: name of the queue.
    :ivar service: service whose workers run the job.
    :ivar priority: 0 goes first and may stop others.
    :ivar attempts: failed runs of a work item after which the job fails.
    :ivar stretch: objective as a multiple of the longest chain of work.
    :ivar allowance: seconds added to the objective.
    :ivar advice: advisor that must permit each worker; ``None`` for none.
    """

    queue: str
    service: str
    priority: int
    attempts: int
    stretch: float = 1.0
    allowance: float = 0.0
    advice: Advice | None = None


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted; it never changes.

    :ivar id: identifier chosen by the caller.
    :ivar account: client account; empty for anonymous callers.
    :ivar content: text handed to each work item.
    :ivar accepted: Unix time of the acceptance in seconds.
    """

    id: str
    account: str
    content: str
    steps: tuple[Step, ...]
    terms: Terms
    accepted: float
    schedule: Schedule | None = None

    def get_occurrences(self) -> int:
        """Return how many times the steps run."""
        return 1 if self.schedule is None else self.schedule.count

    def get_chain(self) -> float:
        """Return the estimated seconds of the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            start = max((ends[i] for i in step.after), default=0.0)
            ends.append(start + step.estimate)
        return max(ends, default=0.0)


class Item(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a work item.

    :ivar occurrence: 0 for a job without a schedule.
    :ivar step: index of the step.
    :ivar index: number within the step.
    """

    job: str
    occurrence: int
    step: int
    index: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One start of a work item; numbers of an item only rise."""

    item: Item
    number: int

    def get_gang(self) -> GangRun:
        """Return the start of the gang that the run belongs to."""
        item = self.item
        return GangRun(item.job, item.occurrence, item.step, self.number)


class GangRun(msgspec.Struct, frozen=True, array_like=True):
    """One start of a gang: runs of a step that share a number."""

    job: str
    occurrence: int
    step: int
    number: int


class Lifetime(msgspec.Struct, frozen=True, array_like=True):
    """One life of a worker; a restarted worker may keep its id.

    :ivar worker: id of the worker.
    :ivar born: Unix milliseconds of its start.
    """

    worker: str
    born: int


class Ending(enum.StrEnum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run as its worker lists it.

    :ivar checkpoint: latest saved progress; empty for none.
    :ivar percent: share of the full speed or progress, as the worker says.
    """

    run: Run
    checkpoint: str
    percent: float


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An end as its worker lists it.

    :ivar serial: number of the end in this lifetime, from 1.
    """

    serial: int
    run: Run
    ending: Ending
    checkpoint: str
