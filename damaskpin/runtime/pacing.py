"""Limits the processor time that scheduling passes may use."""

from __future__ import annotations

# Length of the pause after a scheduling pass, as a multiple of the duration of
# the pass. The pause leaves time for reports and clients during a burst of
# waiting jobs.
PAUSE_FACTOR = 1.0


class Pacer:
    """Decides when the next scheduling pass may start; times in seconds."""

    __slots__ = ('_next_start',)

    def __init__(self) -> None:
        self._next_start = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the next scheduling pass may start."""
        return now >= self._next_start

    def record_pass(self, started: float, ended: float) -> None:
        """Record when a scheduling pass started and ended."""
        self._next_start = ended + PAUSE_FACTOR * max(ended - started, 0.0)
