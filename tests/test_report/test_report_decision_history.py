"""Tests of the decision history of requests and jobs."""

import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from damaskpin.report import decision_history


def add(history, work, event, account='', now=0.0, detail='because'):
    history.add(now, 1e9 + now, work, event, detail, 'entry-1', account)


def test_get_returns_complete_entries():
    # Guards against entries without time, process, event or reason, which do
    # not explain a decision.
    history = decision_history.DecisionHistory()
    add(history, 'j1', 'queued', 'screening', 5.0, 'no free rack')
    trail = history.get('j1')
    assert trail.account == 'screening'
    assert trail.entries == (
        decision_history.HistoryEntry(
            5.0, 1e9 + 5.0, 'queued', 'no free rack', 'entry-1'
        ),
    )
    assert history.get('j2') is None


def test_first_entry_survives_many_decisions():
    # Guards against discarding the first entry, which tells when the job was
    # accepted.
    history = decision_history.DecisionHistory(
        max_entries=100, max_entries_per_work=4
    )
    for index in range(10):
        add(history, 'j1', f'e{index}')
    trail = history.get('j1')
    assert [entry.event for entry in trail.entries] == ['e0', 'e7', 'e8', 'e9']
    assert trail.dropped == 6


def test_repetitions_do_not_displace_other_work():
    # Guards against a long-waiting job that displaces the history of others by
    # repeating the same entry.
    history = decision_history.DecisionHistory(max_entries=4)
    add(history, 'j1', 'queued')
    for index in range(1000):
        add(history, 'j2', 'waiting', now=float(index))
    assert history.get('j1').entries[0].event == 'queued'
    (entry,) = history.get('j2').entries
    assert (entry.now, entry.repeats) == (0.0, 999)
    assert entry.last_wall == 1e9 + 999


def test_list_recent_selects_account_and_sorts_by_latest_entry():
    # Guards against showing requests and jobs of another account.
    history = decision_history.DecisionHistory(max_entries=6)
    for work in ('a1', 'a2', 'a3'):
        add(history, work, 'queued', 'a')
    add(history, 'b1', 'queued', 'b')
    add(history, 'a1', 'started')
    recent = [trail.work for trail in history.list_recent('a')]
    assert recent == ['a1', 'a3', 'a2']
    assert [t.work for t in history.list_recent('a', limit=1)] == ['a1']
    for index in range(6):
        add(history, 'b2', f'e{index}', 'b')
    assert history.list_recent('a') == []


@pytest.mark.parametrize('limits', [(0, 64), (10, 1)])
def test_too_small_limits_are_rejected(limits):
    # Guards against limits with which entries would be lost silently.
    with pytest.raises(ValueError, match='at least'):
        decision_history.DecisionHistory(*limits)


@pytest.mark.parametrize('work_count', [1, 200, 10**9])
def test_memory_stays_below_max_bytes(work_count):
    # Guards against long texts of callers that exhaust the 128 MB of a daemon.
    tracemalloc.start()
    try:
        history = decision_history.DecisionHistory()
        for index in range(3 * decision_history.MAX_ENTRIES):
            long_text = f'{index}' + '\N{PINEAPPLE}' * 5000
            work = f'{index % work_count}' + '\N{PINEAPPLE}' * 5000
            history.add(0.0, 0.0, work, long_text, long_text, long_text, work)
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert used < decision_history.MAX_BYTES
    assert len(history) <= decision_history.MAX_ENTRIES


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'),
            strategies.sampled_from('xyz'),
            strategies.sampled_from(['', 'p', 'q']),
        ),
        max_size=80,
    )
)
def test_limits_hold_and_order_is_kept(steps):
    # Guards against inconsistent indexes, because the limit per request or job
    # and the total limit discard entries from the same structures.
    history = decision_history.DecisionHistory(
        max_entries=7, max_entries_per_work=3
    )
    for index, (work, event, account) in enumerate(steps):
        add(history, work, event, account, now=float(index))
        trails = [t for t in map(history.get, 'abc') if t is not None]
        assert sum(len(t.entries) for t in trails) == len(history) <= 7
        for trail in trails:
            times = [entry.now for entry in trail.entries]
            assert times == sorted(times)
            assert 1 <= len(times) <= 3
        listed_work = [
            t.work for name in 'pq' for t in history.list_recent(name)
        ]
        assert sorted(listed_work) == [t.work for t in trails if t.account]
    if steps:
        assert history.get(steps[-1][0]).entries[-1].event == steps[-1][1]
