"""Tests of the rest between passes."""

from __future__ import annotations

from damaskpin.runtime import pacing


def test_long_passes_leave_time_for_reports():
    """A pass after each of many reports starves the reports themselves."""
    pacer = pacing.Pacer()
    now = 100.0
    busy = 0.0
    for _ in range(1000):
        now += 0.005
        if pacer.is_due(now):
            pacer.record_pass(now, now + 0.04)
            now += 0.04
            busy += 0.04
    assert busy <= 0.55 * (now - 100.0)


def test_short_passes_follow_each_event():
    """A rest that a small fleet would notice only makes starts late."""
    pacer = pacing.Pacer()
    pacer.record_pass(100.0, 100.0002)
    assert pacer.is_due(100.001)
