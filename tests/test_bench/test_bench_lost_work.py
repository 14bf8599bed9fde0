"""Tests of the table of lost work that is summed from log lines."""

from __future__ import annotations

from bench import lost_work

ENDED = (
    '  8.8 front-1 {"message": "run ended", "cause": "failed",'
    ' "lost_core_seconds": 12.5}'
)


def test_losses_are_summed_by_cause():
    """Guards against a table that leaves out removed runs."""
    removed = (
        '{"message": "run removed", "cause": "worker lost",'
        ' "lost_core_seconds": 40.0}'
    )
    table = lost_work.make_table([ENDED, removed, ENDED])
    assert table.core_seconds == {'failed': 25.0, 'worker lost': 40.0}
    assert next(iter(table.render())).startswith('worker lost')


def test_other_lines_are_left_out():
    """Guards against an end of the script at a line that was cut."""
    lines = ['started', ENDED[:40], '{"message": "run ended"}', '{"a": 1}']
    assert not lost_work.make_table(lines).runs
