"""Monotonic and wall clock of a process."""

from __future__ import annotations

import time


def get_monotonic_time() -> float:
    """Return monotonic seconds, including time of a system suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def get_wall_time() -> float:
    """Return Unix time in seconds; it may jump when the clock is set."""
    return time.time()
