"""Tests of the election of the coordinating entry."""

from __future__ import annotations

import pytest

from damaskpin.runtime import leadership
from damaskpin.store import layout
from damaskpin.store import transactions


@pytest.mark.parametrize(
    ('seconds', 'cores', 'better'),
    [(0.005, 2.0, (0.005, 0.5)), (0.005, 0.5, (0.045, 2.0))],
)
def test_better_placed_entry_tries_first(seconds, cores, better):
    """A small or far coordinator is late for a large fleet."""
    delay = leadership.get_campaign_delay(seconds, cores)
    assert delay < leadership.get_campaign_delay(*better)


def test_standard_entry_tries_at_once():
    """A delay for every entry would only prolong a takeover."""
    assert leadership.get_campaign_delay(0.005, 1.07) == 0.0


def test_fence_is_the_creation_of_the_own_key():
    """A conflict with another entry's value must not count as elected."""
    own = transactions.StoredItem(layout.LEADER, b'mine', 9, 7)
    conflict = transactions.Conflict({layout.LEADER: own})
    assert leadership.get_won_fencing_token(conflict, b'mine') == 7
    assert leadership.get_won_fencing_token(conflict, b'other') == 0
