"""Corrects declared run times by the actual run times of earlier jobs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.scheduler import queue as queues

# Lowest weight of the newest observation in the moving average of an account.
MIN_WEIGHT = 0.1

# Number of exact declarations that every account is assumed to start with, so
# that a single unusual job does not dominate the estimate.
PRIOR_OBSERVATIONS = 2

# Limit on the logarithm of actual over declared run time. Declared run times
# are wrong by a factor of up to 10; another factor of 2 is tolerated.
MAX_LOG_RATIO = math.log(20.0)

# A job that has exceeded its estimate is assumed to run on for at least this
# share of its elapsed time: the longer a job has run, the longer it tends to
# continue.
OVERRUN_SHARE = 0.25


class Estimates:
    """Estimates run times from declared run times, per account."""

    __slots__ = ('_counts', '_log_ratios')

    def __init__(self) -> None:
        self._log_ratios: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record_run_time(
        self, account: str, declared: float, actual: float
    ) -> None:
        """Update the estimate of an account from a job that succeeded.

        :param declared: declared run time in seconds.
        :param actual: actual run time in seconds.
        """
        ratio = math.log(max(actual, 0.001) / declared)
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))
        count = self._counts.get(account, 0)
        self._counts[account] = count + 1
        weight = max(MIN_WEIGHT, 1.0 / (count + 1 + PRIOR_OBSERVATIONS))
        log_ratio = self._log_ratios.get(account, 0.0)
        self._log_ratios[account] = log_ratio + weight * (ratio - log_ratio)

    def get_run_seconds(self, account: str, declared: float) -> float:
        """Return the estimate for a declared run time, both in seconds."""
        return declared * math.exp(self._log_ratios.get(account, 0.0))

    def get_remaining(self, now: float, entry: queues.JobEntry) -> float:
        """Estimate the remaining run time of a job in seconds."""
        total = self.get_run_seconds(
            entry.job.account, entry.job.spec.run_seconds
        )
        elapsed = entry.checkpointed_seconds
        if entry.members:
            elapsed += now - entry.started
        return max(total - elapsed, OVERRUN_SHARE * elapsed)
