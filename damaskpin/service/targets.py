"""Targets announced to an agent."""

from __future__ import annotations

import collections
import dataclasses

DEFAULT_SLOTS = 8
MAX_CONNECTIONS = 64
# A longer ttl would let a dead target receive work for more than the 3 s
# that are allowed after it began to leave.
MAX_TTL_S = 3.0


@dataclasses.dataclass(slots=True)
class Target:
    """The announced target of one service.

    :ivar expires: monotonic time at which the announcement expires.
    :ivar running: requests in progress.
    :ivar waiting: attempts that wait for a slot, oldest first.
    """

    slots: int
    expires: float
    leaving: bool
    running: int = 0
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )

    def accepts(self, now: float) -> bool:
        """Return whether something new may start."""
        return not self.leaving and now < self.expires

    def limit(self) -> int:
        """Return the number of requests that may be in progress."""
        return min(self.slots, MAX_CONNECTIONS)

    def has_free_slot(self) -> bool:
        """Return whether one more request may be in progress."""
        return self.running < self.limit()

    def is_gone(self, now: float) -> bool:
        """Return whether the target may be forgotten."""
        return not (self.accepts(now) or self.running or self.waiting)


def find_refusal(
    target: Target | None, now: float, timeout: float, max_waiting: int
) -> str:
    """Return why a new request is refused, or an empty text.

    :param timeout: seconds that the target may take.
    :param max_waiting: requests that may wait for a slot.
    """
    if target is None:
        return 'no-target'
    if not target.accepts(now):
        return 'leaving'
    if timeout <= 0:
        return 'expired'
    if target.has_free_slot() or len(target.waiting) < max_waiting:
        return ''
    return 'busy'
