"""Tests of the local copy of the store."""

from __future__ import annotations

from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions


def make_mirror():
    seen = []
    mirror = mirrors.Mirror('p/', seen.append)
    return mirror, seen


def make_item(key, value, revision):
    return transactions.StoredItem(key, value, revision, 1)


def test_older_value_never_replaces_a_newer_one():
    """Guards against a stale page of a listing that undoes a change."""
    mirror, seen = make_mirror()
    mirror.apply(make_item('p/a', b'new', 7))
    mirror.replace([make_item('p/a', b'old', 3)], 9)
    assert mirror.items['p/a'].value == b'new'
    assert len(seen) == 1


def test_key_missing_from_a_full_list_is_removed():
    """Guards against keeping a key whose removal event was compacted."""
    mirror, seen = make_mirror()
    mirror.replace([make_item('p/a', b'1', 2), make_item('p/b', b'1', 3)], 3)
    mirror.replace([make_item('p/b', b'1', 3)], 8)
    assert list(mirror.items) == ['p/b']
    assert isinstance(seen[-1], transactions.Removal)


def test_key_written_during_a_list_survives_it():
    """Guards against removal of a key written while pages were read."""
    mirror, _ = make_mirror()
    mirror.apply(make_item('p/c', b'1', 12))
    mirror.replace([], 10)
    assert 'p/c' in mirror.items
