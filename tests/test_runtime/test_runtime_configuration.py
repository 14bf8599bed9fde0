"""Tests of versions of the configuration that come in any order."""

from __future__ import annotations

import json

from damaskpin import errors
from damaskpin.model import installation as installations
from damaskpin.runtime import configuration as configurations
from damaskpin.store import transactions


def _decode(data):
    try:
        version = json.loads(data)
    except ValueError as error:
        raise errors.MalformedError(str(error)) from error
    return installations.Installation(version, (), (), (), 1)


def _play(*values):
    seen = []
    known = configurations.ConfigurationWatcher(
        None, 'key', _decode, lambda i: seen.append(i.version)
    )
    for revision, value in enumerate(values, 1):
        known.apply(transactions.StoredItem('key', value, revision, 1))
    return seen


def test_older_version_never_comes_back():
    """An operator's race or a stale read must not undo a newer version."""
    assert _play(b'3', b'7', b'5', b'7', b'9') == [3, 7, 9]


def test_malformed_version_leaves_the_former_one_in_force():
    """Bytes that can't be read must not take the queues away."""
    assert _play(b'3', b'\xff', b'4') == [3, 4]
