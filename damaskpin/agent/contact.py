"""Contact to one lifetime of a worker: its clock, its silence, its lease."""

from __future__ import annotations

from damaskpin.model import leases

# A worker that has left a look at its lists unanswered for this time is
# silent, in seconds: a look takes 0.5 s, and 0.5 s later it has failed.
SILENT_S = 1.2

# Longest step by which a look at the clock counts as watched, in seconds. A
# machine that was suspended sees a longer one; the worker's clock may have
# stood still with it.
MAX_STEP_S = 0.25


class Contact:
    """Tells how long a worker is silent and when its lease has ended.

    Times are seconds of a steady clock, which may jump ahead by the time of a
    suspension.

    :param grant: seconds for which the lease is kept after the report that
        the coordinator answered last.
    :param lease: seconds for which one renewal keeps the worker's lease.
    :param stop_time: seconds that a worker takes to stop a run.
    """

    __slots__ = (
        '_answered',
        '_clock',
        '_deadline',
        '_echo_floor',
        '_failed',
        '_grant',
        '_granted',
        '_has_answered',
        '_last',
        '_lease',
        '_read',
        '_stop_time',
        '_watched',
        '_watched_read',
    )

    def __init__(self, grant: float, lease: float, stop_time: float) -> None:
        self._grant = grant
        self._deadline = 0.0
        # Grants for reports up to this time are not used: the coordinator
        # has been told that nothing renews the lease.
        self._echo_floor = -1.0
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
        self._has_answered = False

    def begin(self, now: float) -> None:
        """Ignore grants that were given to a former run of this process.

        It may have told the coordinator of a silent worker's lease.
        """
        self._echo_floor = now

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
        if not self._has_answered:
            # A heartbeat's clock may be late, and a former agent may have
            # granted a whole lease up to now.
            self._has_answered = True
            granted = clock + int(self._lease * 1000)
            self._granted = max(self._granted, granted)
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

    def report_silence(self, now: float) -> tuple[float, float]:
        """Return what a report says of a silent worker.

        From then on nothing renews the lease before orders that echo a later
        report, as the coordinator counts on its end.

        :returns: seconds of silence, and seconds until the lease has ended;
            0 for both while the worker is in contact.
        """
        silence = self.get_silence(now)
        if not silence:
            return (0.0, 0.0)
        self._deadline = 0.0
        self._echo_floor = now
        return (silence, self.get_lapse())

    def note_grant(self, echo: float) -> None:
        """Take over the coordinator's grant.

        :param echo: time of the report that it answers.
        """
        if echo > self._echo_floor:
            self._deadline = max(self._deadline, echo + self._grant)

    def get_left(self, now: float) -> float:
        """Return the seconds until the grant ends."""
        return self._deadline - now

    def grant(self, now: float) -> int | None:
        """Return the end of a lease on the worker's clock, in milliseconds.

        :returns: ``None`` if nothing may be granted: the clock is not known,
            the grant has ended, or the last look had no answer. A lease that
            is renewed while the worker may be dead only ends later.
        """
        if self._clock is None or self._failed:
            return None
        if self._deadline <= now:
            return None
        ends = min(self._deadline, now + self._lease)
        until = self._clock + int((ends - self._read) * 1000)
        self._granted = max(self._granted, until)
        return until

    def has_lapsed(self, now: float) -> bool:
        """Return whether a silent worker's lease has certainly ended.

        Then nothing runs there that was ordered before, and no order that
        is still under way starts anything.
        """
        return bool(self.get_silence(now)) and self.get_lapse() <= 0

    def get_lapse(self) -> float:
        """Return the seconds until the lease has certainly ended.

        It holds as long as nothing more is granted; negative afterwards.
        """
        if self._clock is None:
            return self._lease
        left = (
            (self._granted - self._clock) / 1000 / (1 - leases.CLOCK_SLOWNESS)
        )
        left -= self._watched - self._watched_read
        return left + leases.LAPSE_MARGIN_S + self._stop_time

    def _set_clock(self, now: float, clock: int) -> None:
        self._clock = clock
        self._read = now
        self._watched_read = self._watched
