"""Tests of the burn rates."""

import ast
import json
import pathlib
import re
import time

import hypothesis
from hypothesis import strategies
import pytest

from damaskpin.report import burn
from damaskpin.report import burn_page

URGENT = burn.Objective.URGENT_START
VERDICT = burn.Objective.TRUTHFUL_VERDICT
HOUR = 3600.0
NOW = 100 * HOUR


def record(counter, age, good, bad, account='a', objective=URGENT):
    """Record events of a minute that lies ``age`` minutes back."""
    for verdict, count in ((True, good), (False, bad)):
        for _ in range(count):
            counter.record(NOW - age * 60.0, objective, account, verdict)


def evaluate(counter, now=NOW):
    return burn.evaluate(counter.collect(now))


def test_rates_of_each_window():
    # Hand-computed: a wrong window or divisor shows in one of the rates.
    # Budget 0.001. 3 d: 5 bad of 1000; 6 h: 3 of 500; 1 h: 2 of 200;
    # 30 min: 1 of 100; 5 min: none of 50.
    counter = burn.Burn()
    record(counter, 24 * 60, 498, 2)
    record(counter, 5 * 60, 299, 1)
    record(counter, 45, 99, 1)
    record(counter, 20, 49, 1)
    record(counter, 2, 50, 0)
    (row,) = evaluate(counter)
    assert row.rates == pytest.approx(
        {5: 0.0, 30: 10.0, 60: 10.0, 360: 6.0, 4320: 5.0}
    )
    assert row.series.windows[4320] == burn.Counts(995, 5)
    # The rule of 6 h and 30 min is exactly at its threshold of 6.
    assert [alert.rule.threshold for alert in row.alerts] == [6.0, 1.0]


@pytest.mark.parametrize(
    ('age', 'counted'),
    [(0, {5, 30, 60, 360, 4320}), (4, {5, 30, 60, 360, 4320}),
     (5, {30, 60, 360, 4320}), (59, {60, 360, 4320}), (60, {360, 4320}),
     (359, {360, 4320}), (360, {4320}), (4319, {4320}), (4320, set())],
)  # fmt: skip
def test_edges_of_windows(age, counted):
    # An event one minute too old keeps an alert firing.
    counter = burn.Burn()
    record(counter, age, 0, 1)
    (row,) = evaluate(counter)
    assert {
        minutes for minutes, counts in row.series.windows.items() if counts.bad
    } == counted


def test_alert_needs_both_windows():
    # One window alone pages long after the cause has ended, or too early.
    ended = burn.Burn()
    record(ended, 30, 900, 100)
    record(ended, 1, 100, 0)
    severities = [
        alert.rule.long_minutes for alert in evaluate(ended)[0].alerts
    ]
    assert 60 not in severities
    fresh = burn.Burn()
    record(fresh, 30, 900, 100)
    record(fresh, 1, 90, 10)
    alerts = evaluate(fresh)[0].alerts
    assert alerts[0].rule.long_minutes == 60
    assert alerts[0].rule.severity == burn.Severity.PAGE
    assert alerts[0].long_rate == pytest.approx(100.0)


def test_no_events_is_not_a_good_rate():
    # Silence must not look like success.
    counter = burn.Burn()
    record(counter, 90, 10, 0)
    (row,) = evaluate(counter)
    assert row.rates[60] is None
    assert row.rates[360] == 0.0
    assert row.alerts == []


def test_counts_expire_without_new_events():
    # Old counts in the ring would show up again three days later.
    counter = burn.Burn()
    record(counter, 0, 1, 1)
    (row,) = evaluate(counter, NOW + 3 * 24 * HOUR)
    assert row.series.windows[4320] == burn.Counts(0, 0)
    record(counter, 0, 0, 1)
    assert evaluate(counter, NOW + 3 * 24 * HOUR)[0].rates[4320] is None


@hypothesis.given(
    events=strategies.lists(
        strategies.tuples(strategies.integers(0, 9000), strategies.booleans()),
        max_size=40,
    )
)
def test_ring_agrees_with_a_list_of_events(events):
    # The ring wraps around and clears minutes in order or out of it.
    counter = burn.Burn()
    latest = 0
    kept = []
    for minute, good in events:
        counter.record(minute * 60.0, URGENT, 'a', good)
        latest = max(latest, minute)
        kept.append((minute, good))
    for series in counter.collect(latest * 60.0):
        for minutes, counts in series.windows.items():
            inside = [g for m, g in kept if m > latest - minutes]
            assert counts == burn.Counts(
                inside.count(True), inside.count(False)
            )
        assert sum(hour.bad for hour in series.hours) == (
            series.windows[4320].bad
        )


def test_accounts_are_apart_and_bounded():
    # A caller that invents accounts must not use up the memory.
    counter = burn.Burn()
    for index in range(3 * burn.MAX_ACCOUNTS):
        for objective in burn.Objective:
            counter.record(NOW, objective, f'a{index}', index != 0)
    rows = evaluate(counter)
    accounts = {row.series.account for row in rows}
    assert len(accounts) == burn.MAX_ACCOUNTS
    assert burn.OTHER_ACCOUNTS in accounts
    bad = {r.series.account for r in rows if r.series.windows[5].bad}
    assert bad == {'a0'}
    # No call may block the event loop for more than 250 ms.
    begin = time.perf_counter()
    counter.collect(NOW)
    assert time.perf_counter() - begin < 0.25


def test_combine_adds_up_processes():
    # Each entry sees its own callers only.
    first, second = burn.Burn(), burn.Burn()
    record(first, 0, 9, 1)
    record(second, 70, 5, 5)
    record(second, 0, 0, 1, 'b', VERDICT)
    collected = [first.collect(NOW), second.collect(NOW)]
    rows = burn.evaluate(burn.combine(collected))
    urgent = next(r for r in rows if r.series.objective == URGENT)
    assert urgent.series.windows[60] == burn.Counts(9, 1)
    assert urgent.series.windows[360] == burn.Counts(14, 6)
    assert urgent.series.hours[:2] == [burn.Counts(9, 1), burn.Counts(5, 5)]
    assert len(rows) == 2


def test_rejects_a_target_without_a_budget():
    # A target of 1 divides by zero.
    with pytest.raises(ValueError, match='target of urgent-start is 1'):
        burn.evaluate([], {URGENT: 1})


def test_text_and_json_name_the_alerts():
    # Alerts come first, so that a long table does not hide them.
    counter = burn.Burn()
    record(counter, 0, 10, 0, 'quiet')
    record(counter, 0, 0, 10, 'loud')
    rows = evaluate(counter)
    lines = burn_page.format_text(rows, 0.0).splitlines()
    assert 'Burn rates at 1970-01-01 00:00:00Z' in lines[0]
    assert re.match(r'urgent-start +loud .*page \(1 h >= 14.4\)', lines[2])
    assert lines[3].endswith('-')
    document = json.loads(burn_page.format_json(rows, 0.0))
    assert document['rows'][0]['alerts'][0]['rule']['severity'] == 'page'


def test_page_is_self_contained():
    # The page is read where nothing else can be fetched, and account names
    # come from a configuration.
    counter = burn.Burn()
    record(counter, 0, 10, 1, '<b>&"x"')
    page = burn_page.format_html(evaluate(counter), 0.0)
    for marker in ('<script', '<link', '@import', 'url(', 'src=', '<b>'):
        assert marker not in page
    assert '&lt;b&gt;&amp;' in page
    assert page.count('<svg') == 1


def test_empty_reports_render():
    # A process that has just started has no events.
    assert 'No events.' in burn_page.format_text([], 0.0)
    assert '<svg' not in burn_page.format_html([], 0.0)


def test_does_not_depend_on_daemons():
    # Operators' tools load the reports without the daemons.
    for path in pathlib.Path(burn.__file__).parent.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [f'{node.module}.{a.name}' for a in node.names]
            own = [name for name in names if name.startswith('damaskpin')]
            assert all(name.startswith('damaskpin.report') for name in own)
