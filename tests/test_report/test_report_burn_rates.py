"""Tests of burn rates, their alerts and their reports."""

import ast
import gc
import json
import pathlib
import re
import time

import hypothesis
from hypothesis import strategies
import pytest

from damaskpin.report import burn_rates
from damaskpin.report import burn_report

URGENT = burn_rates.Objective.URGENT_START
VERDICT = burn_rates.Objective.TRUTHFUL_VERDICT
HOUR = 3600.0
NOW = 100 * HOUR


def record(counter, age, good, bad, account='a', objective=URGENT):
    """Record events that occurred ``age`` minutes ago."""
    for is_good, count in ((True, good), (False, bad)):
        for _ in range(count):
            counter.record(NOW - age * 60.0, objective, account, is_good)


def evaluate_counters(counter, now=NOW):
    return burn_rates.compute_burn_rates(counter.collect(now))


def test_burn_rate_of_each_window():
    # Guards against wrong window lengths or divisors. The error budget is
    # 0.001. Bad events: 5 of 1000 in 3 days, 3 of 500 in 6 hours, 2 of 200 in
    # 1 hour, 1 of 100 in 30 minutes and none of 50 in 5 minutes.
    counter = burn_rates.BurnCounters()
    record(counter, 24 * 60, 498, 2)
    record(counter, 5 * 60, 299, 1)
    record(counter, 45, 99, 1)
    record(counter, 20, 49, 1)
    record(counter, 2, 50, 0)
    (row,) = evaluate_counters(counter)
    assert row.rates == pytest.approx(
        {5: 0.0, 30: 10.0, 60: 10.0, 360: 6.0, 4320: 5.0}
    )
    assert row.series.windows[4320] == burn_rates.EventCounts(995, 5)
    # The burn rate of the rule with windows of 6 h and 30 min equals its
    # threshold of 6.
    assert [alert.rule.threshold for alert in row.alerts] == [6.0, 1.0]


@pytest.mark.parametrize(
    ('age', 'expected_windows'),
    [(0, {5, 30, 60, 360, 4320}), (4, {5, 30, 60, 360, 4320}),
     (5, {30, 60, 360, 4320}), (59, {60, 360, 4320}), (60, {360, 4320}),
     (359, {360, 4320}), (360, {4320}), (4319, {4320}), (4320, set())],
)  # fmt: skip
def test_window_boundaries(age, expected_windows):
    # Guards against windows that are a minute too long, which would keep
    # alerts firing, or too short.
    counter = burn_rates.BurnCounters()
    record(counter, age, 0, 1)
    (row,) = evaluate_counters(counter)
    assert {
        minutes for minutes, counts in row.series.windows.items() if counts.bad
    } == expected_windows


def test_alert_requires_both_windows():
    # Guards against a rule that checks one window only. The long one alone
    # fires long after the cause has ended, the short one alone too early.
    ended = burn_rates.BurnCounters()
    record(ended, 30, 900, 100)
    record(ended, 1, 100, 0)
    severities = [
        alert.rule.long_minutes for alert in evaluate_counters(ended)[0].alerts
    ]
    assert 60 not in severities
    ongoing = burn_rates.BurnCounters()
    record(ongoing, 30, 900, 100)
    record(ongoing, 1, 90, 10)
    alerts = evaluate_counters(ongoing)[0].alerts
    assert alerts[0].rule.long_minutes == 60
    assert alerts[0].rule.severity == burn_rates.Severity.PAGE
    assert alerts[0].long_rate == pytest.approx(100.0)


def test_window_without_events_has_no_rate():
    # Guards against a burn rate of 0 for a window without events, which would
    # look like success.
    counter = burn_rates.BurnCounters()
    record(counter, 90, 10, 0)
    (row,) = evaluate_counters(counter)
    assert row.rates[60] is None
    assert row.rates[360] == 0.0
    assert row.alerts == []


def test_counts_expire_without_new_events():
    # Guards against old counts that reappear when the ring buffer wraps around
    # after three days.
    counter = burn_rates.BurnCounters()
    record(counter, 0, 1, 1)
    (row,) = evaluate_counters(counter, NOW + 3 * 24 * HOUR)
    assert row.series.windows[4320] == burn_rates.EventCounts(0, 0)
    record(counter, 0, 0, 1)
    assert (
        evaluate_counters(counter, NOW + 3 * 24 * HOUR)[0].rates[4320] is None
    )


@hypothesis.given(
    events=strategies.lists(
        strategies.tuples(strategies.integers(0, 9000), strategies.booleans()),
        max_size=40,
    )
)
def test_counts_match_a_list_of_events(events):
    # Compares the ring buffer with a plain list, including wrap-around and
    # events that arrive out of order.
    counter = burn_rates.BurnCounters()
    latest = 0
    events_by_minute = []
    for minute, good in events:
        counter.record(minute * 60.0, URGENT, 'a', good)
        latest = max(latest, minute)
        events_by_minute.append((minute, good))
    for series in counter.collect(latest * 60.0):
        for minutes, counts in series.windows.items():
            in_window = [
                g for m, g in events_by_minute if m > latest - minutes
            ]
            assert counts == burn_rates.EventCounts(
                in_window.count(True), in_window.count(False)
            )
        assert sum(hour.bad for hour in series.hours) == (
            series.windows[4320].bad
        )


def test_accounts_are_separate_and_limited():
    # Guards against counts in the wrong account, and against a caller that
    # exhausts the memory with invented account names.
    counter = burn_rates.BurnCounters()
    for index in range(3 * burn_rates.MAX_ACCOUNTS):
        for objective in burn_rates.Objective:
            counter.record(NOW, objective, f'a{index}', index != 0)
    rows = evaluate_counters(counter)
    accounts = {row.series.account for row in rows}
    assert len(accounts) == burn_rates.MAX_ACCOUNTS
    assert burn_rates.OTHER_ACCOUNTS_LABEL in accounts
    bad = {r.series.account for r in rows if r.series.windows[5].bad}
    assert bad == {'a0'}
    # Collecting the counts must not block the event loop for more than 250 ms.
    # The call never waits, so that its processor time is the time for which it
    # blocks a loop that has its core. Objects of other tests are left out of
    # garbage collections meanwhile.
    gc.freeze()
    try:
        start_time = time.thread_time()
        counter.collect(NOW)
        seconds = time.thread_time() - start_time
    finally:
        gc.unfreeze()
    assert seconds < 0.25


def test_combine_adds_up_processes():
    # Each entry process counts only the events of its own callers, so a report
    # on all of them needs the sum.
    first, second = burn_rates.BurnCounters(), burn_rates.BurnCounters()
    record(first, 0, 9, 1)
    record(second, 70, 5, 5)
    record(second, 0, 0, 1, 'b', VERDICT)
    collected = [first.collect(NOW), second.collect(NOW)]
    rows = burn_rates.compute_burn_rates(burn_rates.merge_processes(collected))
    urgent = next(r for r in rows if r.series.objective == URGENT)
    assert urgent.series.windows[60] == burn_rates.EventCounts(9, 1)
    assert urgent.series.windows[360] == burn_rates.EventCounts(14, 6)
    assert urgent.series.hours[:2] == [
        burn_rates.EventCounts(9, 1),
        burn_rates.EventCounts(5, 5),
    ]
    assert len(rows) == 2


def test_target_without_error_budget_is_rejected():
    # Guards against a division by zero for a target of 1.
    with pytest.raises(ValueError, match='target of urgent-start is 1'):
        burn_rates.compute_burn_rates([], {URGENT: 1})


def test_text_and_json_contain_alerts():
    # Guards against alerts that are hidden at the end of a long table.
    counter = burn_rates.BurnCounters()
    record(counter, 0, 10, 0, 'quiet')
    record(counter, 0, 0, 10, 'loud')
    rows = evaluate_counters(counter)
    lines = burn_report.format_text(rows, 0.0).splitlines()
    assert 'Burn rates at 1970-01-01 00:00:00Z' in lines[0]
    assert re.match(r'urgent-start +loud .*page \(1 h >= 14.4\)', lines[2])
    assert lines[3].endswith('-')
    document = json.loads(burn_report.format_json(rows, 0.0))
    assert document['rows'][0]['alerts'][0]['rule']['severity'] == 'page'


def test_page_is_self_contained():
    # Guards against external content, which readers without network access
    # cannot load, and against account names that are not escaped.
    counter = burn_rates.BurnCounters()
    record(counter, 0, 10, 1, '<b>&"x"')
    page = burn_report.format_html(evaluate_counters(counter), 0.0)
    for marker in ('<script', '<link', '@import', 'url(', 'src=', '<b>'):
        assert marker not in page
    assert '&lt;b&gt;&amp;' in page
    assert page.count('<svg') == 1


def test_report_without_events():
    # Guards against a crash in a process that has just started and has no
    # events.
    assert 'No events.' in burn_report.format_text([], 0.0)
    assert '<svg' not in burn_report.format_html([], 0.0)


def test_report_package_does_not_import_other_packages():
    # Guards against imports outside the report package. Operators' tools load
    # the reports without the daemons.
    for path in pathlib.Path(burn_rates.__file__).parent.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [f'{node.module}.{a.name}' for a in node.names]
            project_names = [
                name for name in names if name.startswith('damaskpin')
            ]
            assert all(
                name.startswith('damaskpin.report') for name in project_names
            )
