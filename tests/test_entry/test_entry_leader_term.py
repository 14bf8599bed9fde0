"""Tests of what the end of a leader key tells about the last grants."""

from __future__ import annotations

import pytest

from damaskpin.entry import leader_term
from damaskpin.model import leases
from damaskpin.store import layout
from damaskpin.store import transactions

ADDRESS = 'tcp://e'
TTL_S = 1.8
ENDED = 100.0
NOW = 103.0
# Latest renewal of a lease that has ended by itself at ENDED.
RENEWED = ENDED - TTL_S * (1 - leases.MAX_CLOCK_SLOWDOWN)


def _put(term, key, value, revision):
    term.apply(
        ENDED - 10.0,
        transactions.StoredItem(key, value, revision, revision),
    )


def _make_term(leader='n1', recorded='n1', resigned=False):
    """Return a term as an entry sees it that has seen the leader key end.

    :param leader: nonce of the leader key; empty if it was never seen.
    """
    term = leader_term.LeaderTerm()
    record = leader_term.TermRecord(recorded, ADDRESS, TTL_S, resigned)
    if leader:
        value = leader_term.encode_leader(ADDRESS, 'e', leader)
        _put(term, layout.LEADER_KEY, value, 5)
    _put(term, layout.TERM_KEY, leader_term.encode_record(record), 5)
    if leader:
        term.apply(ENDED, transactions.Removal(layout.LEADER_KEY, 9))
    return term


def test_lease_that_has_ended_tells_its_latest_renewal():
    """Guards against grants that are counted anew from each takeover."""
    assert _make_term().find_former(NOW).last_grant == pytest.approx(RENEWED)


def test_leader_that_has_resigned_may_have_given_grants_until_the_end():
    """Guards against runs that are freed too early after a planned change."""
    assert _make_term(resigned=True).find_former(NOW).last_grant == ENDED


def test_entry_that_has_just_started_counts_from_its_own_time():
    """Guards against an end of the key that nobody has seen."""
    last_grant = _make_term(leader='').find_former(NOW).last_grant
    assert last_grant == pytest.approx(RENEWED + NOW - ENDED)


def test_record_of_another_term_tells_nothing():
    """Guards against a leader of an earlier build, which writes no record."""
    assert _make_term(leader='n2').find_former(NOW) is None
    assert leader_term.LeaderTerm().find_former(NOW) is None


def test_malformed_record_tells_nothing():
    """Guards against a record of another writer that can't be read."""
    term = _make_term()
    _put(term, layout.TERM_KEY, b'{', 12)
    assert term.find_former(NOW) is None
    assert term.revision == 12


def test_next_leader_key_ends_later():
    """Guards against a term that is taken to have ended with an earlier one.

    The key of the later term is there when its end was not seen.
    """
    term = _make_term()
    _put(
        term,
        layout.LEADER_KEY,
        leader_term.encode_leader('tcp://f', 'f', 'n2'),
        14,
    )
    _put(
        term,
        layout.TERM_KEY,
        leader_term.encode_record(
            leader_term.TermRecord('n2', ADDRESS, TTL_S)
        ),
        14,
    )
    last_grant = term.find_former(NOW).last_grant
    assert last_grant == pytest.approx(RENEWED + NOW - ENDED)
