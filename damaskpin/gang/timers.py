"""Timers that cost nothing until they are due."""

from __future__ import annotations

import heapq
import itertools


class Timers:
    """One timer for each key."""

    __slots__ = ('_counter', '_due', '_heap')

    def __init__(self) -> None:
        self._due: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._counter = itertools.count()

    def set(self, key: str, due: float) -> None:
        """Set or move the timer of a key.

        :param due: monotonic seconds.
        """
        if self._due.get(key) == due:
            return
        self._due[key] = due
        heapq.heappush(self._heap, (due, next(self._counter), key))

    def remove(self, key: str) -> None:
        """Drop the timer of a key, if it has one."""
        self._due.pop(key, None)

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the keys whose timers are due."""
        keys = []
        while self._heap and self._heap[0][0] <= now:
            due, _, key = heapq.heappop(self._heap)
            # Moved and removed timers leave their old entries behind.
            if self._due.get(key) == due:
                del self._due[key]
                keys.append(key)
        return keys
