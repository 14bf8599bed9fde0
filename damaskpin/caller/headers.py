"""Parsing and range checks of request headers and job specifications."""

from __future__ import annotations

import re

import msgspec

from damaskpin import errors
from damaskpin.model import job as jobs

MAX_KEY_CHARS = 256
MAX_DEADLINE_S = 24 * 3600.0
DEFAULT_DEADLINE_S = 30.0

_TRACE_PATTERN = re.compile(r'^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$')


def parse_key(text: str | None) -> str:
    """Return the checked value of ``Idempotency-Key``; empty for none."""
    key = (text or '').strip('"')
    if len(key) > MAX_KEY_CHARS:
        raise errors.RequestError(
            400,
            'Header out of range',
            f'Idempotency-Key is longer than {MAX_KEY_CHARS} characters',
        )
    return key


def parse_job_spec(body: bytes) -> jobs.JobSpec:
    """Decode the job specification in a request body."""
    try:
        return msgspec.json.decode(body, type=jobs.JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.RequestError(400, 'Job malformed', str(error)) from error


def parse_idempotent(text: str | None) -> bool:
    """Parse the value of ``Damaskpin-Idempotent``; defaults to true."""
    match text:
        case None | 'true':
            return True
        case 'false':
            return False
    raise errors.RequestError(
        400,
        'Header out of range',
        'Damaskpin-Idempotent must be true or false',
    )


def parse_priority(text: str | None) -> jobs.Priority:
    """Parse the value of ``Damaskpin-Priority``; defaults to normal."""
    if text is None:
        return jobs.Priority.NORMAL
    try:
        return jobs.Priority[text.upper()]
    except KeyError:
        allowed_names = ', '.join(item.name.lower() for item in jobs.Priority)
        raise errors.RequestError(
            400,
            'Header out of range',
            f'Damaskpin-Priority must be one of {allowed_names}',
        ) from None


def parse_deadline(text: str | None) -> float:
    """Parse the value of ``Damaskpin-Deadline``; defaults to 30 seconds."""
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    # The range check also rejects NaN, because comparisons with it are false.
    if 0 < seconds <= MAX_DEADLINE_S:
        return seconds
    raise errors.RequestError(
        400,
        'Header out of range',
        f'Damaskpin-Deadline must be in (0, {MAX_DEADLINE_S:g}] seconds',
    )


def parse_trace_context(text: str | None) -> str:
    """Return a valid W3C ``traceparent`` value, or an empty string."""
    return text if text and _TRACE_PATTERN.match(text) else ''
