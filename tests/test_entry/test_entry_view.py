"""Tests of the copy of the store with keys that another writer left odd."""

from __future__ import annotations

import msgspec
import pytest

from damaskpin.coordinator import records
from damaskpin.entry import view as views
from damaskpin.store import layout
from damaskpin.store import transactions
from tests.test_runtime import outages

NESTED = b'{"unknown": %s}' % (b'[' * 100_000 + b']' * 100_000)


def _apply(view, key, value, revision=1, now=0.0):
    item = transactions.StoredItem(key, value, revision, revision)
    view.apply(item, now)


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
    key = layout.make_job_key(outages.JOB.id)
    _apply(view, key, records.encode_submission(outages.JOB), 2)
    assert view.get(outages.JOB.id) is not None


@pytest.mark.parametrize(
    ('skew', 'arrived'), [(0.0, 200.0), (50.0, 200.0), (-50.0, 150.0)]
)
def test_job_is_as_old_as_the_view_or_the_clock_tells(skew, arrived):
    """Guards against a job that a takeover takes for a new one.

    The clock of the entry that accepted it differs from that of this one.
    """
    view = views.JobView()
    wall = 1_000_000.0
    submission = msgspec.structs.replace(outages.JOB, accepted=wall + skew)
    key = layout.make_job_key(submission.id)
    _apply(view, key, records.encode_submission(submission), now=200.0)
    _apply(view, key, records.encode_submission(submission), 2, now=220.0)
    job = view.get(submission.id)
    assert job.estimate_arrival(260.0, wall + 60.0) == arrived
