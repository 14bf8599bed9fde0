"""Tests of configuration versions that arrive out of order."""

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


def _apply_versions(*values):
    versions = []
    watcher = configurations.ConfigurationWatcher(
        None, 'key', _decode, lambda i: versions.append(i.version)
    )
    for revision, value in enumerate(values, 1):
        watcher.apply(transactions.StoredItem('key', value, revision, 1))
    return versions


def test_older_version_never_replaces_newer_one():
    """Guards against reverting a version after a race or a stale read."""
    assert _apply_versions(b'3', b'7', b'5', b'7', b'9') == [3, 7, 9]


def test_malformed_version_keeps_current_one_in_force():
    """Guards against a malformed configuration that removes all queues."""
    assert _apply_versions(b'3', b'\xff', b'4') == [3, 4]
