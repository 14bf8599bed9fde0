"""Run times learnt from what the jobs of an account declared and took."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.scheduler import queue as queues

# Weight of the newest observation once enough have been made.
MIN_WEIGHT = 0.1

# The first observations count as if two exact declarations preceded them, so
# that a single odd job does not decide.
PRIOR_OBSERVATIONS = 2

# Declared run times are wrong by up to 10x either way; a factor of 2 beyond
# that is tolerated before an observation is cut off.
MAX_LOG_RATIO = math.log(20.0)

# A job that has outrun its estimate is assumed to need this share of its run
# time again, because the longer a job has run, the longer it tends to go on.
OVERRUN_SHARE = 0.25


class Estimates:
    """Correction of declared run times, per account."""

    __slots__ = ('_counts', '_log_ratios')

    def __init__(self) -> None:
        self._log_ratios: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def observe(self, account: str, declared: float, actual: float) -> None:
        """Learn from a job that ran to its end.

        :param declared: declared run time in seconds.
        :param actual: run time in seconds.
        """
        ratio = math.log(max(actual, 0.001) / declared)
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))
        count = self._counts.get(account, 0)
        self._counts[account] = count + 1
        weight = max(MIN_WEIGHT, 1.0 / (count + 1 + PRIOR_OBSERVATIONS))
        known = self._log_ratios.get(account, 0.0)
        self._log_ratios[account] = known + weight * (ratio - known)

    def get_run_seconds(self, account: str, declared: float) -> float:
        """Return the corrected run time in seconds."""
        return declared * math.exp(self._log_ratios.get(account, 0.0))

    def get_remaining(self, now: float, entry: queues.Entry) -> float:
        """Return the seconds that a job is expected to need still."""
        total = self.get_run_seconds(
            entry.job.account, entry.job.spec.run_seconds
        )
        elapsed = entry.run_before
        if entry.members:
            elapsed += now - entry.started
        return max(total - elapsed, OVERRUN_SHARE * elapsed)
