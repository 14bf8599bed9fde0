"""Values of callers' headers and bodies, checked against their ranges."""

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
    """Return the idempotency key, or an empty text."""
    key = (text or '').strip('"')
    if len(key) > MAX_KEY_CHARS:
        raise errors.RequestError(
            400,
            'Header out of range',
            f'Idempotency-Key is longer than {MAX_KEY_CHARS} characters',
        )
    return key


def parse_spec(body: bytes) -> jobs.JobSpec:
    """Decode a job specification."""
    try:
        return msgspec.json.decode(body, type=jobs.JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.RequestError(400, 'Job malformed', str(error)) from error


def parse_flag(text: str | None) -> bool:
    """Return the value of ``Damaskpin-Idempotent``."""
    match text:
        case None | 'true':
            return True
        case 'false':
            return False
    raise errors.RequestError(
        400, 'Header out of range', 'Damaskpin-Idempotent is true or false'
    )


def parse_priority(text: str | None) -> jobs.Priority:
    """Return the value of ``Damaskpin-Priority``."""
    if text is None:
        return jobs.Priority.NORMAL
    try:
        return jobs.Priority[text.upper()]
    except KeyError:
        allowed = ', '.join(item.name.lower() for item in jobs.Priority)
        raise errors.RequestError(
            400,
            'Header out of range',
            f'Damaskpin-Priority is one of {allowed}',
        ) from None


def parse_deadline(text: str | None) -> float:
    """Return the value of ``Damaskpin-Deadline`` in seconds."""
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    # The comparison is also false for not-a-number.
    if 0 < seconds <= MAX_DEADLINE_S:
        return seconds
    raise errors.RequestError(
        400,
        'Header out of range',
        f'Damaskpin-Deadline is above 0 and at most {MAX_DEADLINE_S:g} s',
    )


def parse_trace(text: str | None) -> str:
    """Return the trace context, or an empty text."""
    return text if text and _TRACE_PATTERN.match(text) else ''
