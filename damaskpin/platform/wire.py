"""Request and answer bodies of the platform's HTTP interfaces."""

from __future__ import annotations

import functools
from typing import Annotated
from typing import TypeVar

import msgspec

from damaskpin import decoding

T = TypeVar('T')

# Largest whole number in messages between processes, which have 64 bits.
MAX_NUMBER = 2**63 - 1

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class Advice(msgspec.Struct, rename='camel'):
    """Response and validity times of the advisor in milliseconds.

    :ivar decide_ms: time that the advisor needs to answer a question.
    :ivar each_ms: additional time for each worker in the question.
    :ivar valid_ms: time for which a ticket, the advisor's permission to use a
        worker, is valid.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class AdviseBody(msgspec.Struct):
    """A question to the advisor which workers may run a step.

    :ivar step: job id, occurrence and step number, as ID.K.STEP.
    :ivar workers: ids of the workers.
    """

    step: str
    workers: list[str]


class AdviseAnswer(msgspec.Struct):
    """The advisor's answer to a question which workers may run a step.

    :ivar good: id and ticket of each permitted worker; the ticket is the
        advisor's permission and is passed to the worker with each start.
    """

    good: list[tuple[str, str]] = []


class Route(msgspec.Struct, rename='camel'):
    """A queue in the operator's configuration.

    :ivar host: host name in the URL of the queue.
    :ivar prefix: path prefix in the URL of the queue.
    :ivar service: pool whose workers run the queue's jobs.
    :ivar attempts: failed runs of a work item after which its job fails.
    :ivar stretch: target completion time as a multiple of the critical path.
    :ivar target_latency_ms: time added to the target completion time.
    :ivar anonymous: whether clients may send requests without an API key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    timeout_ms: float = 3000.0
    anonymous: bool = False
    advice: Advice | None = None


class Service(msgspec.Struct, rename='camel'):
    """A pool of workers in the operator's configuration."""

    name: str
    rejects_overload: bool = False
    standby: bool = False


class Limits(msgspec.Struct, rename='camel'):
    """Limits on the size of client requests."""

    max_body_bytes: int = 262144


class GuaranteedCapacity(msgspec.Struct):
    """Number of accelerators guaranteed to a client account."""

    gpu: int = 0


class Tenant(msgspec.Struct, rename='camel'):
    """A client account in the operator's configuration."""

    name: str
    api_keys: list[str] = []
    guaranteed: GuaranteedCapacity = msgspec.field(
        default_factory=GuaranteedCapacity
    )


class Configuration(msgspec.Struct):
    """The operator's configuration."""

    version: int
    routes: list[Route]
    services: list[Service] = []
    limits: Limits = msgspec.field(default_factory=Limits)
    tenants: list[Tenant] = []


class JobStep(msgspec.Struct, rename='camel'):
    """A step of a job that a client sends; times are in milliseconds.

    ``decode_step`` in the module ``operator`` maps the fields to those of
    ``work.Step``, which are described there.
    """

    count: Count
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Milliseconds = 0.0
    after: list[Count] = []
    checkpoint: bool = False
    gang: bool = False
    rack_local: bool = False
    constraints: str = ''
    affinity: str = ''
    anti_affinity: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: Count = 0
    fills: bool = False
    may_miss: Count = 0


class JobBody(msgspec.Struct, rename='camel'):
    """A job that a client sends; times are in milliseconds."""

    spec: str
    steps: list[JobStep]
    repeats: Count = 0
    first_ms: Milliseconds = 0.0
    period_ms: Milliseconds = 0.0


class Capacity(msgspec.Struct, rename='camel'):
    """Processor, memory and accelerator capacity of a worker."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class HeartbeatBody(msgspec.Struct, rename='camel'):
    """A heartbeat of a worker: its state, capacity and location.

    :ivar born: Unix time of the worker process's start in milliseconds.
    :ivar labels: labels of the worker; the last one is its rack.
    :ivar remaining_ms: least time that a draining worker still stays.
    :ivar clock_ms: reading of the worker's clock.
    """

    service: str
    state: str
    born: Count = 0
    addr: str = ''
    zone: str = ''
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    labels: list[str] = []
    remaining_ms: Milliseconds = 0.0
    clock_ms: Count | None = None
    sequence: Count = 0


class RenewLeaseBody(msgspec.Struct, rename='camel', omit_defaults=True):
    """Request to renew a worker's lease and list its runs.

    :ivar fencing_token: fencing token of the coordinator.
    :ivar observed: serial number up to which the worker may forget ended
        runs.
    :ivar wait_ms: time for which the worker may wait for a run to end.
    :ivar until_ms: expiry of the lease on the worker's clock; ``None`` leaves
        the lease unchanged.
    """

    fencing_token: int
    observed: int
    wait_ms: int = 0
    until_ms: int | None = None


class StartBody(msgspec.Struct, rename='camel', omit_defaults=True):
    """Request to start a run.

    :ivar task: job id, occurrence, step and item number, as
        ID.K.STEP.INDEX.
    :ivar run: number of the attempt to execute the work item.
    :ivar spec: input text that is passed to the work item.
    :ivar until_ms: expiry of the worker's lease on its own clock.
    :ivar checkpointed: checkpoint from which the run resumes; empty for none.
    :ivar ticket: the advisor's permission to run on this worker; empty if
        none is needed.
    """

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int
    checkpointed: str = ''
    ticket: str = ''


class StopBody(msgspec.Struct, rename='camel'):
    """Request to stop a run.

    :ivar task: job id, occurrence, step and item number, as
        ID.K.STEP.INDEX.
    :ivar run: number of the attempt to execute the work item.
    """

    task: str
    run: int
    fencing_token: int


class WorkerAnswer(msgspec.Struct, rename='camel'):
    """Answer of a worker to any request.

    Only the answer to a lease renewal lists running and finished runs.

    :ivar clock_ms: reading of the worker's clock.
    :ivar reason: why the worker refused the request; empty if it did not.
    :ivar born: Unix time of the worker process's start in milliseconds; 0 if
        the answer lacks it.
    """

    clock_ms: Count = 0
    reason: str = ''
    born: Count = 0
    running: list[object] = []
    finished: list[object] = []


def decode(data: bytes, body_type: type[T]) -> T:
    """Decode a JSON body to a struct.

    :param body_type: type of the struct.
    :raises damaskpin.errors.MalformedError: not valid JSON of that type.
    """
    decoder = functools.partial(
        msgspec.json.decode, type=body_type, strict=True
    )
    return decoding.decode(decoder, data)
