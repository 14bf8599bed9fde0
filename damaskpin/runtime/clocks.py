"""Clocks of a process."""

from __future__ import annotations

import time


def get_steady() -> float:
    """Return steady seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def get_wall() -> float:
    """Return Unix seconds; they may jump."""
    return time.time()
