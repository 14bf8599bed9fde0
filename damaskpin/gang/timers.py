"""Timers in a heap, so that a tick only visits the timers that are due."""

from __future__ import annotations

import heapq
import itertools


class Timers:
    """Holds at most one timer for each key."""

    __slots__ = ('_counter', '_due_times', '_heap')

    def __init__(self) -> None:
        self._due_times: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._counter = itertools.count()

    def set(self, key: str, due: float) -> None:
        """Set the timer of a key, and replace its previous time.

        :param due: monotonic seconds.
        """
        if self._due_times.get(key) == due:
            return
        self._due_times[key] = due
        heapq.heappush(self._heap, (due, next(self._counter), key))

    def remove(self, key: str) -> None:
        """Remove the timer of a key, if it has one."""
        self._due_times.pop(key, None)

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the keys whose timers are due."""
        keys = []
        while self._heap and self._heap[0][0] <= now:
            due, _, key = heapq.heappop(self._heap)
            # Replaced and removed timers leave outdated entries in the heap.
            if self._due_times.get(key) == due:
                del self._due_times[key]
                keys.append(key)
        return keys
