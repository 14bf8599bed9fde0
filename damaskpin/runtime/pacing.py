"""Share of the processor that passes over all jobs may take."""

from __future__ import annotations

# A pass is followed by a rest of this multiple of its own time, so that
# reports and callers are served in a burst of many waiting jobs.
REST_FACTOR = 1.0


class Pacer:
    """Tells when the next pass may begin; times are seconds."""

    __slots__ = ('_next',)

    def __init__(self) -> None:
        self._next = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a pass may begin."""
        return now >= self._next

    def note_pass(self, begun: float, ended: float) -> None:
        """Record a pass."""
        self._next = ended + REST_FACTOR * max(ended - begun, 0.0)
