"""Tests of when the stored record of silent agents may be counted upon."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import silent_agents
from damaskpin.entry import stored_silences
from damaskpin.store import layout
from damaskpin.store import transactions

FORMER_FENCE = 10
RECORD_REVISION = 12
FENCE = 20
AGES = {'agent-1': 2.5}
SEEN = 50.0


def _make_leader(fence):
    return transactions.StoredItem(layout.LEADER_KEY, b'', fence, fence)


def _make_record(fence=FORMER_FENCE, revision=RECORD_REVISION):
    value = silent_agents.encode_record(
        silent_agents.SilenceRecord(fence, 1, AGES)
    )
    return transactions.StoredItem(
        layout.SILENCES_KEY, value, revision, revision
    )


def _apply(*changes, listings=1):
    """Return the silences after changes that were seen one second apart."""
    silences = stored_silences.StoredSilences()
    for index, change in enumerate(changes):
        silences.apply(SEEN + index - 1, change, listings)
    return silences


def test_age_counts_from_the_time_at_which_the_entry_saw_the_record():
    """Guards against a takeover that adds the time since the loss."""
    silences = _apply(
        _make_leader(FORMER_FENCE), _make_record(), _make_leader(FENCE)
    )
    assert silences.get_answers(FENCE) == {'agent-1': SEEN - 2.5}
    assert silences.revision == RECORD_REVISION


@pytest.mark.parametrize(
    'changes',
    [
        (_make_record(), _make_leader(FENCE)),
        (_make_leader(FORMER_FENCE), _make_leader(FENCE)),
        (
            _make_leader(FORMER_FENCE),
            _make_record(),
            _make_leader(FENCE - 1),
            _make_leader(FENCE),
        ),
        (
            _make_leader(FORMER_FENCE),
            _make_record(),
            transactions.Removal(layout.SILENCES_KEY, 13),
            _make_leader(FENCE),
        ),
        (_make_leader(FORMER_FENCE), _make_record()),
    ],
)
def test_record_of_another_than_the_former_coordinator_does_not_count(changes):
    """Guards against a record that a later coordinator has not kept to.

    One of an earlier build answers all agents and writes no record.
    """
    assert _apply(*changes).get_answers(FENCE) == {}


def test_record_does_not_count_if_a_coordinator_may_have_been_missed():
    """Guards against one that came and went before a listing."""
    silences = _apply(_make_leader(FORMER_FENCE), _make_record())
    silences.apply(SEEN + 2, _make_leader(FENCE), 2)
    assert silences.get_answers(FENCE) == {}


def test_malformed_record_counts_as_none():
    """Guards against an entry that can't take over because of a record."""
    malformed = transactions.StoredItem(layout.SILENCES_KEY, b'{', 12, 12)
    silences = _apply(
        _make_leader(FORMER_FENCE), malformed, _make_leader(FENCE)
    )
    assert silences.get_answers(FENCE) == {}
    assert silences.revision == 12
