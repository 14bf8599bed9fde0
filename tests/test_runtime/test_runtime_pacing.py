"""Tests of the pause between scheduling passes."""

from __future__ import annotations

from damaskpin.runtime import pacing


def test_long_passes_leave_time_for_reports():
    """Guards against passes that use all processor time under load.

    A pass after each of many reports left no time to handle reports.
    """
    pacer = pacing.Pacer()
    now = 100.0
    pass_seconds = 0.0
    for _ in range(1000):
        now += 0.005
        if pacer.is_due(now):
            pacer.record_pass(now, now + 0.04)
            now += 0.04
            pass_seconds += 0.04
    assert pass_seconds <= 0.55 * (now - 100.0)


def test_short_passes_are_not_delayed():
    """Guards against a pause that delays starts in a small fleet."""
    pacer = pacing.Pacer()
    pacer.record_pass(100.0, 100.0002)
    assert pacer.is_due(100.001)
