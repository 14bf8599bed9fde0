"""Tracking of a worker's clock, response times and lease expiry.

A renewal at a time ``now`` expires at the last reading of the worker's clock
plus the shorter of a full lease and the time from ``now`` to the grant's end.
The worker's clock shows the reading or more by then, so the lease ends no
later than the grant, plus 2% for a slow clock, as the coordinator counts. The
time since the reading is not added: the worker's clock may have stood still
for all of it while the machine was suspended.
"""

from __future__ import annotations

import math

from damaskpin.model import leases

# Seconds after its last answer at which a worker counts as silent, if the
# latest poll failed. A poll waits up to 0.5 s at the worker and times out
# 0.5 s later.
SILENCE_THRESHOLD_S = 1.2

# Longest interval between two clock readings, in seconds, that counts in full
# towards the elapsed lease time. A longer interval means that the agent's
# machine was suspended, and the worker's clock may have stood still as well.
MAX_ELAPSED_STEP_S = 0.25

# Seconds after which a clock reading counts as old. It is longer than a poll
# that waits at the worker and the pause after it, and much shorter than a
# lease.
MAX_READING_AGE_S = 0.8

# Seconds after a suspension of the machine for which runs that outlast the
# grant are kept, so that the coordinator may renew it. The time of a stop
# later they have ended, before the next suspension that is allowed for.
RENEWAL_GRACE_S = 1.2


class LeaseTracker:
    """Tracks how long a worker has been silent and when its lease expires.

    One tracker covers one process of the worker at a time. A grant is the
    coordinator's permission to renew the lease. Times are seconds on a steady
    clock, which may jump ahead when the machine was suspended.

    :param grant: seconds for which the agent may keep renewing the lease,
        counted from the ``echo`` of the coordinator's orders.
    :param lease: maximum duration in seconds of one lease renewal.
    :param stop_time: seconds that a worker needs to stop a run.
    :param longest_lease: longest lease in seconds that a worker allows. A late
        call to a former process of the worker may set it, until the first
        call to the new process.
    """

    __slots__ = (
        '_clock',
        '_counted_end',
        '_earliest_read_time',
        '_elapsed_time',
        '_elapsed_time_at_answer',
        '_elapsed_time_at_read',
        '_grant',
        '_grant_deadline',
        '_has_answered_poll',
        '_last_advance_time',
        '_last_answer_time',
        '_last_poll_failed',
        '_lease',
        '_lease_expiry',
        '_longest_lease',
        '_min_echo_time',
        '_resumed_at',
        '_stop_time',
    )

    def __init__(
        self,
        grant: float,
        lease: float,
        stop_time: float,
        longest_lease: float = 0.0,
    ) -> None:
        self._grant = grant
        self._grant_deadline = 0.0
        # Latest time at which the lease ends unless the machine is suspended,
        # as the coordinator counts it; unknown before the first grant.
        self._counted_end = math.inf
        self._resumed_at = -math.inf
        # Grants that answer reports sent up to ``_min_echo_time`` are ignored,
        # because the coordinator was told that the agent does not renew the
        # lease.
        self._min_echo_time = -1.0
        self._lease = lease
        self._longest_lease = max(lease, longest_lease)
        self._stop_time = stop_time
        self._last_advance_time = 0.0
        self._elapsed_time = 0.0
        self.reset()

    def reset(self) -> None:
        """Discard the clock and lease state of the previous worker process."""
        self._clock: int | None = None
        self._earliest_read_time = 0.0
        self._elapsed_time_at_read = 0.0
        self._elapsed_time_at_answer = self._elapsed_time
        self._lease_expiry = 0
        self._last_answer_time = 0.0
        self._last_poll_failed = False
        self._has_answered_poll = False

    def ignore_earlier_grants(self, now: float) -> None:
        """Ignore grants that answer reports sent before the agent started.

        The previous agent process may have told the coordinator when a silent
        worker's lease expires, so an older grant must not renew that lease.

        :param now: start time of this agent in seconds.
        """
        self._min_echo_time = now

    def advance_elapsed_time(self, now: float) -> None:
        """Add the time since the last call to the elapsed lease time.

        Must be called at least four times a second, because at most
        ``MAX_ELAPSED_STEP_S`` is added per call.
        """
        step = max(now - self._last_advance_time, 0.0)
        if step > MAX_ELAPSED_STEP_S:
            self._resumed_at = now
        self._elapsed_time += min(step, MAX_ELAPSED_STEP_S)
        self._last_advance_time = now

    def record_heartbeat(self, now: float, clock: int | None) -> None:
        """Record the worker's clock from a heartbeat if none is known yet.

        A heartbeat may be delayed, so its clock reading may be too low.

        :param clock: milliseconds on the worker's clock.
        """
        if self._clock is not None or clock is None:
            return
        # A previous agent process may have renewed the lease for its full
        # duration, so the latest possible expiry is assumed.
        self._lease_expiry = clock + int(self._longest_lease * 1000)
        self._record_answer_time(now)
        self._set_clock(now, now, clock)

    def record_answer(self, now: float, sent: float, clock: int) -> None:
        """Record an answered poll and the worker's clock reading in it.

        :param sent: time in seconds at which the poll was sent.
        :param clock: milliseconds on the worker's clock.
        """
        if not self._has_answered_poll:
            # The clock reading of a heartbeat may be too low, and a previous
            # agent process may just have renewed the lease in full.
            self._has_answered_poll = True
            assumed_expiry = clock + int(self._longest_lease * 1000)
            self._lease_expiry = max(self._lease_expiry, assumed_expiry)
        self._record_answer_time(now)
        self._last_poll_failed = False
        self._set_clock(now, sent, clock)

    def record_failure(self) -> None:
        """Record that the worker did not answer a poll."""
        self._last_poll_failed = True

    def has_failed_poll(self) -> bool:
        """Return whether the latest poll got no answer."""
        return self._last_poll_failed

    def get_last_answer_time(self) -> float:
        """Return the time of the worker's last answer or heartbeat."""
        return self._last_answer_time

    def get_silence(self, now: float) -> float:
        """Return the seconds since a silent worker's last answer, else 0.

        A worker is not silent because its machine was suspended, in which time
        it could not answer.
        """
        if not self._last_poll_failed:
            return 0.0
        self.advance_elapsed_time(now)
        awake = self._elapsed_time - self._elapsed_time_at_answer
        if awake <= SILENCE_THRESHOLD_S:
            return 0.0
        return now - self._last_answer_time

    def report_silence(self, now: float) -> tuple[float, float]:
        """Return the silence and the lease time to report, and stop renewals.

        The coordinator relies on the reported expiry. The lease of a silent
        worker is therefore not renewed until the coordinator has answered a
        later report.

        :returns: seconds since the last answer, and seconds until the lease
            has certainly expired; 0 for both unless the worker is silent.
        """
        silence = self.get_silence(now)
        if not silence:
            return (0.0, 0.0)
        self._grant_deadline = 0.0
        self._min_echo_time = now
        lapse = self.get_lease_remaining()
        lease_end = now + lapse - leases.LEASE_EXPIRY_MARGIN_S
        self._counted_end = min(self._counted_end, lease_end - self._stop_time)
        return (silence, lapse)

    def record_grant(self, now: float, echo: float) -> None:
        """Record the coordinator's permission to renew the worker's lease.

        A time that lies ahead was read by a former process of the agent,
        before the machine's clock started anew, and grants nothing.

        :param echo: time in seconds from which the grant counts.
        """
        if not self._min_echo_time < echo <= now:
            return
        deadline = echo + self._grant
        if deadline > self._grant_deadline:
            self._grant_deadline = deadline
            self._counted_end = (
                deadline + self._grant * leases.MAX_CLOCK_SLOWDOWN
            )

    def must_end_runs(self, now: float) -> bool:
        """Return whether the worker's runs outlast the grant and must stop.

        A lease that outlasts the time that the coordinator counts was held
        while the machine was suspended. The coordinator allows for one
        suspension, so the runs have to end before the next one may begin.
        """
        latest = min(
            self._counted_end + leases.MAX_SUSPENSION_S,
            self._resumed_at + RENEWAL_GRACE_S,
        )
        if now <= self._counted_end or now < latest:
            return False
        margins = leases.LEASE_EXPIRY_MARGIN_S + self._stop_time
        return self.get_lease_remaining() > margins

    def get_certain_lease(self, now: float) -> float:
        """Return the seconds of lease that a renewal certainly gives.

        The worker's clock may have advanced by all the time since it was read.
        """
        return self._get_renewal_time(now) - self._get_reading_age(now)

    def is_reading_old(self, now: float) -> bool:
        """Return whether a renewal needs a new clock reading first."""
        return self._get_reading_age(now) > MAX_READING_AGE_S

    def extend_lease(self, now: float) -> int | None:
        """Return the expiry time for a lease renewal and record it.

        :returns: milliseconds on the worker's clock; ``None`` if the lease
            must not be renewed, because the worker's clock is not known, the
            coordinator's permission has run out, or the latest poll failed.
            Renewing the lease of a worker that may be dead would only delay
            its expiry.
        """
        self.advance_elapsed_time(now)
        if self._clock is None or self._last_poll_failed:
            return None
        renewal_time = self._get_renewal_time(now)
        if renewal_time <= 0:
            return None
        until = self._clock + int(renewal_time * 1000)
        self._lease_expiry = max(self._lease_expiry, until)
        return until

    def is_lease_expired(self, now: float) -> bool:
        """Return whether the worker is silent and its lease has expired.

        After that, no run ordered earlier is still running on the worker, and
        this process refuses a start call that arrives late. The clock of the
        next process starts anew.
        """
        return bool(self.get_silence(now)) and self.get_lease_remaining() <= 0

    def get_lease_remaining(self) -> float:
        """Return the seconds until the lease has certainly expired.

        The result assumes that the lease is not renewed again. It is negative
        once the lease has expired.
        """
        if self._clock is None:
            return self._longest_lease
        remaining = (
            (self._lease_expiry - self._clock)
            / 1000
            / (1 - leases.MAX_CLOCK_SLOWDOWN)
        )
        remaining -= self._elapsed_time - self._elapsed_time_at_read
        return remaining + leases.LEASE_EXPIRY_MARGIN_S + self._stop_time

    def _get_renewal_time(self, now: float) -> float:
        """Return the seconds for which the lease may be renewed now."""
        return min(self._grant_deadline - now, self._lease)

    def _get_reading_age(self, now: float) -> float:
        """Return the greatest age in seconds of the worker's clock reading."""
        return now - self._earliest_read_time

    def _record_answer_time(self, now: float) -> None:
        """Record that the worker has answered or sent a heartbeat."""
        self.advance_elapsed_time(now)
        self._last_answer_time = now
        self._elapsed_time_at_answer = self._elapsed_time

    def _set_clock(self, now: float, earliest: float, clock: int) -> None:
        """Record a reading of the worker's clock.

        :param earliest: earliest time at which the worker read its clock.
        """
        # The time up to now must not count as elapsed since the reading.
        self.advance_elapsed_time(now)
        self._clock = clock
        self._earliest_read_time = earliest
        self._elapsed_time_at_read = self._elapsed_time
