"""Addresses at which processes reach each other."""

from __future__ import annotations

import logging
import re

LOG = logging.getLogger(__name__)

MAX_PORT = 65535
_PATTERN = re.compile(r'tcp://[0-9A-Za-z.-]{1,255}:([0-9]{1,5})')


def decode_address(key: str, data: bytes) -> str:
    """Return the pynng URL of an entry from its stored form.

    :param key: key of the entry, named in the log if its address is odd.
    :returns: an empty string if the data is no URL that can be dialled.
    """
    text = data.decode('utf-8', 'replace')
    match = _PATTERN.fullmatch(text)
    if match is not None and int(match.group(1)) <= MAX_PORT:
        return text
    LOG.error(
        'entry without a usable address ignored',
        extra={'key': key, 'error': f'not an address: {text[:80]!r}'},
    )
    return ''
