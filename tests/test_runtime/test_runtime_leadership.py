"""Tests of the leader election that chooses the coordinator."""

from __future__ import annotations

import pytest

from damaskpin.runtime import leadership
from damaskpin.store import layout
from damaskpin.store import transactions


@pytest.mark.parametrize(
    ('seconds', 'cores', 'better_candidate'),
    [(0.005, 2.0, (0.005, 0.5)), (0.005, 0.5, (0.045, 2.0))],
)
def test_entry_with_low_rtt_and_enough_cores_campaigns_first(
    seconds, cores, better_candidate
):
    """Guards against a coordinator that is slow for a large fleet.

    An entry far from the store or with few cores must not win the election
    against a better one.
    """
    delay = leadership.get_campaign_delay(seconds, cores)
    assert delay < leadership.get_campaign_delay(*better_candidate)


def test_standard_entry_campaigns_without_delay():
    """Guards against an election in which all entries wait.

    Until an entry is elected, no entry coordinates.
    """
    assert leadership.get_campaign_delay(0.005, 1.07) == 0.0


def test_fencing_token_is_creation_revision_of_own_key():
    """Guards against an election won with another entry's leader key."""
    own_key = transactions.StoredItem(layout.LEADER_KEY, b'mine', 9, 7)
    conflict = transactions.Conflict({layout.LEADER_KEY: own_key})
    assert leadership.get_won_fencing_token(conflict, b'mine') == 7
    assert leadership.get_won_fencing_token(conflict, b'other') == 0
