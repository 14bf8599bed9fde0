"""Stop requests for attempts that may still run after an owner gave them up.

An owner gives up an attempt when its lead is lost for so long that the members
must have stopped.
"""

from __future__ import annotations

import dataclasses

from damaskpin import effects
from damaskpin.gang import timers
from damaskpin.peer import gang_messages

# Period in which the lead of an abandoned attempt is sent stop requests,
# because the attempt may still run behind a network partition.
ABANDONED_STOP_SECONDS = 600.0
ABANDONED_POLL_SECONDS = 10.0
MAX_ABANDONED_ATTEMPTS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Abandoned attempt whose lead is sent stop requests.

    :ivar lead: instance id of the agent that leads the gang.
    :ivar expires_at: when the stop requests end, monotonic seconds.
    """

    lead: str
    expires_at: float


class AbandonedAttempts:
    """Sends stop requests to the leads of abandoned attempts."""

    __slots__ = ('_attempts', '_timers')

    def __init__(self) -> None:
        self._attempts: dict[str, _Attempt] = {}
        self._timers = timers.Timers()

    def add(self, now: float, attempt: str, lead: str) -> None:
        """Add an abandoned attempt, up to ``MAX_ABANDONED_ATTEMPTS``.

        :param now: monotonic seconds.
        :param lead: agent of the lead; empty when it is unknown, and then the
            attempt is not added.
        """
        if lead and len(self._attempts) < MAX_ABANDONED_ATTEMPTS:
            expires_at = now + ABANDONED_STOP_SECONDS
            self._attempts[attempt] = _Attempt(lead, expires_at)
            self._timers.set(attempt, now + ABANDONED_POLL_SECONDS)

    def remove(self, attempt: str) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop(attempt, None)
        self._timers.remove(attempt)

    def tick(self, now: float) -> list[effects.Effect]:
        """Return the stop requests that are due, and drop expired attempts."""
        due_effects: list[effects.Effect] = []
        for name in self._timers.pop_due(now):
            attempt = self._attempts[name]
            if now >= attempt.expires_at:
                del self._attempts[name]
                continue
            self._timers.set(name, now + ABANDONED_POLL_SECONDS)
            stop = gang_messages.StopGang(name, 'given up')
            due_effects.append(effects.Send(attempt.lead, stop))
        return due_effects
