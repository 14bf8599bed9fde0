"""Bodies of the platform's interfaces, as they appear on the wire."""

from __future__ import annotations

import base64
from typing import TypeVar

import msgspec

from damaskpin import errors

T = TypeVar('T')


class Item(msgspec.Struct):
    """A key of the store; ``value`` is base64 text."""

    key: str
    value: str = ''
    revision: int = 0
    created: int = 0
    lease: int = 0
    removed: bool = False


class ItemPage(msgspec.Struct, rename='camel'):
    """A page of keys."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class WatchAnswer(msgspec.Struct, rename='camel'):
    """What a watch returns."""

    events: list[Item]
    store_revision: int


class Write(msgspec.Struct, omit_defaults=True):
    """A key to write."""

    key: str
    value: str
    lease: int = 0


class Expectation(msgspec.Struct):
    """A revision that a key must have."""

    key: str
    revision: int


class TransactionBody(msgspec.Struct, rename='camel'):
    """A conditional write."""

    expected_rev: list[Expectation]
    puts: list[Write]
    remove: list[str]


class TransactionAnswer(msgspec.Struct):
    """Answer to a write that took effect."""

    revision: int


class ConflictAnswer(msgspec.Struct):
    """Answer to a write whose condition failed."""

    items: list[Item] = []


class LeaseBody(msgspec.Struct, rename='camel', omit_defaults=True):
    """A lease asked for or granted; ``ttlMs`` is in milliseconds."""

    ttl_ms: int
    lease: int = 0


class Advice(msgspec.Struct, rename='camel'):
    """Times of the advisor in milliseconds."""

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class AdviseBody(msgspec.Struct):
    """A question about a step, ID.K.STEP; ``workers`` are ids."""

    step: str
    workers: list[str]


class AdviseAnswer(msgspec.Struct):
    """Rows of worker id and ticket."""

    good: list[tuple[str, str]] = []


class Route(msgspec.Struct, rename='camel'):
    """A queue of the configuration."""

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
    """A pool of workers."""

    name: str
    rejects_overload: bool = False
    standby: bool = False


class Limits(msgspec.Struct, rename='camel'):
    """Limits of requests."""

    max_body_bytes: int = 262144


class Guaranteed(msgspec.Struct):
    """Accelerators that belong to a tenant."""

    gpu: int = 0


class Tenant(msgspec.Struct, rename='camel'):
    """A client account."""

    name: str
    api_keys: list[str] = []
    guaranteed: Guaranteed = msgspec.field(default_factory=Guaranteed)


class Configuration(msgspec.Struct):
    """The operator's configuration."""

    version: int
    routes: list[Route]
    services: list[Service] = []
    limits: Limits = msgspec.field(default_factory=Limits)
    tenants: list[Tenant] = []


class JobStep(msgspec.Struct, rename='camel'):
    """A step as clients send it; ``estimateMs`` is in milliseconds."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    checkpoint: bool = False
    gang: bool = False
    rack_local: bool = False
    constraints: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class JobBody(msgspec.Struct, rename='camel'):
    """A job as clients send it."""

    spec: str
    steps: list[JobStep]
    repeats: int = 0
    first_ms: float = 0.0
    period_ms: float = 0.0


class Capacity(msgspec.Struct, rename='camel'):
    """Capacity of a worker."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class HeartbeatBody(msgspec.Struct, rename='camel'):
    """A worker's report about itself."""

    service: str
    state: str
    born: int = 0
    addr: str = ''
    zone: str = ''
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    labels: list[str] = []
    remaining_ms: float = 0.0
    clock_ms: int | None = None
    sequence: int = 0


class RenewLeaseBody(msgspec.Struct, rename='camel', omit_defaults=True):
    """A look at a worker's lists and the renewal of its lease."""

    fencing_token: int
    observed: int
    wait_ms: int = 0
    until_ms: int | None = None


class StartBody(msgspec.Struct, rename='camel', omit_defaults=True):
    """A start; ``task`` is ID.K.STEP.INDEX."""

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int
    checkpointed: str = ''
    ticket: str = ''


class StopBody(msgspec.Struct, rename='camel'):
    """A stop."""

    task: str
    run: int
    fencing_token: int


class WorkerAnswer(msgspec.Struct, rename='camel'):
    """Answer of a worker; the lists are there after a look only."""

    clock_ms: int = 0
    reason: str = ''
    born: int = 0
    running: list[list[object]] = []
    finished: list[list[object]] = []


def decode(data: bytes, body_type: type[T]) -> T:
    """Decode a body.

    :raises damaskpin.errors.MalformedError: malformed.
    """
    try:
        return msgspec.json.decode(data, type=body_type, strict=True)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedError(str(error)) from error


def decode_value(text: str) -> bytes:
    """Return the bytes of a stored value.

    :raises damaskpin.errors.MalformedError: not base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise errors.MalformedError(str(error)) from error


def encode_value(value: bytes) -> str:
    """Return the text that stands for the bytes of a value."""
    return base64.b64encode(value).decode('ascii')
