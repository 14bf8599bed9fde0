"""Contact to one lifetime of a worker: its clock, its silence, its lease."""

from __future__ import annotations

# A worker that has left a look at its lists unanswered for this time is
# silent, in seconds: a look takes 0.5 s, and 0.5 s later it has failed.
SILENT_S = 1.2

# A worker's steady clock may be this much slow.
CLOCK_SLOWNESS = 0.02

# Added to the end of a lease before its runs count as gone, in seconds: the
# worker needs a moment to notice it.
LAPSE_MARGIN_S = 0.5

# Longest step by which a look at the clock counts as watched, in seconds. A
# machine that was suspended sees a longer one; the worker's clock may have
# stood still with it.
MAX_STEP_S = 0.25


class Contact:
    """Tells how long a worker is silent and when its lease has ended.

    Times are seconds of a steady clock, which may jump ahead by the time of a
    suspension.

    :param lease: seconds for which one renewal keeps the worker's lease.
    :param stop_time: seconds that a worker takes to stop a run.
    """

    __slots__ = (
        '_answered',
        '_clock',
        '_failed',
        '_granted',
        '_last',
        '_lease',
        '_read',
        '_stop_time',
        '_watched',
        '_watched_read',
    )

    def __init__(self, lease: float, stop_time: float) -> None:
        self._lease = lease
        self._stop_time = stop_time
        self._last = 0.0
        self._watched = 0.0
        self.forget()

    def forget(self) -> None:
        """Begin with another lifetime."""
        self._clock: int | None = None
        self._read = 0.0
        self._watched_read = 0.0
        self._granted = 0
        self._answered = 0.0
        self._failed = False

    def watch(self, now: float) -> None:
        """Let time pass; called at least four times a second."""
        self._watched += min(max(now - self._last, 0.0), MAX_STEP_S)
        self._last = now

    def note_heartbeat(self, now: float, clock: int | None) -> None:
        """Take over a clock that may be late, unless one is known."""
        if self._clock is not None or clock is None:
            return
        # A former agent may have granted as much as a lease holds.
        self._granted = clock + int(self._lease * 1000)
        self._answered = now
        self._set_clock(now, clock)

    def note_answer(self, now: float, clock: int) -> None:
        """Take over the clock of an answer."""
        if self._clock is None:
            self._granted = clock + int(self._lease * 1000)
        self._answered = now
        self._failed = False
        self._set_clock(now, clock)

    def note_failure(self) -> None:
        """Record that a look at the lists had no answer."""
        self._failed = True

    def get_silence(self, now: float) -> float:
        """Return the seconds without an answer; 0 while it is in contact."""
        if not self._failed or now - self._answered <= SILENT_S:
            return 0.0
        return now - self._answered

    def grant(self, now: float, ends: float) -> int | None:
        """Return the end of a lease on the worker's clock, in milliseconds.

        :param ends: time at which the grant ends.
        :returns: ``None`` if nothing may be granted: the clock is not known,
            or the worker is silent, so that its lease is left to end.
        """
        if self._clock is None or ends <= now or self.get_silence(now):
            return None
        ends = min(ends, now + self._lease)
        until = self._clock + int((ends - self._read) * 1000)
        self._granted = max(self._granted, until)
        return until

    def has_lapsed(self, now: float) -> bool:
        """Return whether a silent worker's lease has certainly ended.

        Then nothing runs there that was ordered before, and no order that
        is still under way starts anything.
        """
        if self._clock is None or not self.get_silence(now):
            return False
        passed = (self._watched - self._watched_read) * (1 - CLOCK_SLOWNESS)
        margin = LAPSE_MARGIN_S + self._stop_time
        clock = self._clock + (passed - margin) * 1000
        return clock > self._granted

    def _set_clock(self, now: float, clock: int) -> None:
        self._clock = clock
        self._read = now
        self._watched_read = self._watched
