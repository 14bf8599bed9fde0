"""Decodes the operator's configuration and the jobs that clients send."""

from __future__ import annotations

from damaskpin import errors
from damaskpin.model import installation
from damaskpin.model import work
from damaskpin.platform import wire

# Maximum number of work items in a job. A larger job would not fit into a
# transaction of the store.
MAX_WORK_ITEMS = 5000

# Longest input text that is passed to the work items of a job, and largest
# description of a job, in bytes. A description has to fit into a value of the
# store.
MAX_CONTENT_BYTES = 4000
MAX_JOB_BYTES = 512 * 1024


def decode_installation(data: bytes) -> installation.Installation:
    """Decode the operator's configuration.

    :raises damaskpin.errors.MalformedError: not a valid configuration.
    """
    body = wire.decode(data, wire.Configuration)
    queues = [
        installation.Queue(
            name=route.name,
            host=route.host,
            prefix=route.prefix,
            service=route.service,
            priority=route.priority,
            attempts=route.attempts,
            stretch=route.stretch,
            allowance=route.target_latency_ms / 1000,
            anonymous=route.anonymous,
            timeout=route.timeout_ms / 1000,
            advice=decode_advice(route.advice),
        )
        for route in body.routes
    ]
    services = [
        installation.Service(service.name, service.rejects_overload)
        for service in body.services
    ]
    accounts = [
        installation.Account(
            tenant.name, tuple(tenant.api_keys), tenant.guaranteed.gpu
        )
        for tenant in body.tenants
    ]
    return installation.Installation(
        body.version,
        tuple(queues),
        tuple(services),
        tuple(accounts),
        body.limits.max_body_bytes,
    )


def decode_advice(advice: wire.Advice | None) -> work.AdvisorTimes | None:
    """Return the advisor's response and validity times in seconds."""
    if advice is None:
        return None
    return work.AdvisorTimes(
        advice.decide_ms / 1000,
        advice.each_ms / 1000,
        advice.valid_ms / 1000,
    )


def decode_job(
    data: bytes, job_id: str, account: str, terms: work.Terms, now: float
) -> work.Submission:
    """Decode and validate a job that a client submits.

    :param data: JSON body of the request.
    :param terms: terms of the queue to which the job is submitted.
    :param now: Unix time of the submission in seconds.
    :raises damaskpin.errors.MalformedError: not a valid job.
    """
    if len(data) > MAX_JOB_BYTES:
        raise errors.MalformedError(
            f'the job has {len(data)} bytes; at most {MAX_JOB_BYTES} can be '
            'stored'
        )
    body = wire.decode(data, wire.JobBody)
    if len(body.spec.encode(errors='replace')) > MAX_CONTENT_BYTES:
        raise errors.MalformedError(
            f'the spec is longer than {MAX_CONTENT_BYTES} bytes'
        )
    steps = tuple(decode_step(step) for step in body.steps)
    if not steps or sum(step.count for step in steps) > MAX_WORK_ITEMS:
        raise errors.MalformedError('no work items, or too many')
    for index, step in enumerate(steps):
        if step.count < 1:
            raise errors.MalformedError('a step has no work items')
        if any(not 0 <= earlier < index for earlier in step.after):
            raise errors.MalformedError('a step waits for no earlier step')
    schedule = None
    if body.repeats > 0:
        schedule = work.Schedule(
            body.first_ms / 1000, body.period_ms / 1000, body.repeats
        )
    return work.Submission(
        job_id, account, body.spec, steps, terms, now, schedule
    )


def decode_step(step: wire.JobStep) -> work.Step:
    """Convert a step of a client's job to the internal representation."""
    return work.Step(
        count=step.count,
        demand=work.Resources(step.cpu, step.mem_mb, step.gpu),
        estimate=step.estimate_ms / 1000,
        after=tuple(step.after),
        checkpoints=step.checkpoint,
        gang=step.gang,
        same_rack=step.rack_local,
        label=step.constraints,
        data_rack=step.affinity,
        per_worker=step.anti_affinity,
        copies=step.speculative,
        lasting=step.long_running,
        image=step.image,
        latency_target=step.target_ms,
        fills=step.fills,
        tolerated_absences=step.may_miss,
    )
