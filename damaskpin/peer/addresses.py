"""Addresses at which processes reach each other."""

from __future__ import annotations

import re

from damaskpin import errors

MAX_PORT = 65535
_PATTERN = re.compile(r'tcp://[0-9A-Za-z.-]{1,255}:([0-9]{1,5})')


def decode_address(data: bytes) -> str:
    """Return the pynng URL of a process from its stored form.

    :raises damaskpin.errors.MalformedError: not a URL that can be dialled.
    """
    text = data.decode('utf-8', 'replace')
    match = _PATTERN.fullmatch(text)
    if match is None or int(match.group(1)) > MAX_PORT:
        raise errors.MalformedError(f'not an address: {text[:80]!r}')
    return text
