"""Attempts that an owner gave up while they may still run."""

from __future__ import annotations

import dataclasses

from damaskpin import effects
from damaskpin.gang import timers
from damaskpin.peer import gang_messages

# An attempt that was given up may still run behind a partition; it is asked
# to stop for this long.
ABANDONED_SECONDS = 600.0
ABANDONED_POLL_SECONDS = 10.0
MAX_ABANDONED = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    lead: str
    until: float


class Abandoned:
    """Asks the leads of abandoned attempts to end them."""

    __slots__ = ('_attempts', '_timers')

    def __init__(self) -> None:
        self._attempts: dict[str, _Attempt] = {}
        self._timers = timers.Timers()

    def add(self, now: float, attempt: str, lead: str) -> None:
        """Take an attempt, unless too many are held already.

        :param now: monotonic seconds.
        :param lead: agent of the lead; empty when it is not known.
        """
        if lead and len(self._attempts) < MAX_ABANDONED:
            until = now + ABANDONED_SECONDS
            self._attempts[attempt] = _Attempt(lead, until)
            self._timers.set(attempt, now + ABANDONED_POLL_SECONDS)

    def remove(self, attempt: str) -> None:
        """Drop an attempt that has ended."""
        self._attempts.pop(attempt, None)
        self._timers.remove(attempt)

    def tick(self, now: float) -> list[effects.Effect]:
        """Return the stops that are due."""
        out: list[effects.Effect] = []
        for name in self._timers.pop_due(now):
            attempt = self._attempts[name]
            if now >= attempt.until:
                del self._attempts[name]
                continue
            self._timers.set(name, now + ABANDONED_POLL_SECONDS)
            stop = gang_messages.StopGang(name, 'given up')
            out.append(effects.Send(attempt.lead, stop))
        return out
