"""Tests of the copy of the store with keys that another writer left odd."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import records
from damaskpin.entry import view as views
from damaskpin.model import work
from damaskpin.store import layout
from damaskpin.store import transactions

NESTED = b'{"unknown": %s}' % (b'[' * 100_000 + b']' * 100_000)
SUBMISSION = work.Submission(
    'a' * 16,
    'account',
    'content',
    (work.Step(count=1, demand=work.Resources(1, 1, 0)),),
    work.Terms('q', 's', 1, 2),
    5.0,
)


def _apply(view, key, value, revision=1):
    view.apply(transactions.StoredItem(key, value, revision, revision))


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'[[[[[',
        b'x' * 5000,
        b'tcp://10.0.0.1:99999',
        b'tcp://10.0.0.1:-1',
        b'tcp://10.0.0.1:7000/path',
        b'tcp://10.0.0.1',
        b'\xff\x00',
    ],
)
def test_entry_without_a_usable_address_is_ignored(value):
    """Guards against calls to an address that can't be dialled."""
    view = views.JobView()
    _apply(view, layout.ENTRIES_PREFIX + 'odd', value)
    _apply(view, layout.ENTRIES_PREFIX + 'good', b'tcp://10.0.0.2:7000')
    assert view.entries == {'good': 'tcp://10.0.0.2:7000'}


@pytest.mark.parametrize(
    'prefix', [layout.JOBS_PREFIX, layout.PROGRESS_PREFIX]
)
@pytest.mark.parametrize('value', [NESTED, b'\xff', b'{}x', b'7'])
def test_malformed_record_leaves_the_other_jobs(prefix, value):
    """Guards against a record that ends the loop that follows the store."""
    view = views.JobView()
    _apply(view, prefix + 'b' * 16, value)
    key = layout.make_job_key(SUBMISSION.id)
    _apply(view, key, records.encode_submission(SUBMISSION), 2)
    assert view.get(SUBMISSION.id) is not None
