"""Job states that callers were told last."""

from __future__ import annotations

import collections

# Maximum number of remembered jobs. The oldest one is forgotten first; its
# next answer then counts as new.
MAX_JOBS = 5000


class ShownStates:
    """Remembers which state of each job was told to a caller last.

    Logging only changes keeps the log small, as callers ask often.
    """

    __slots__ = ('_states',)

    def __init__(self) -> None:
        self._states: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def record(self, job_id: str, state: str) -> bool:
        """Record the state that a caller is told.

        :returns: whether it differs from the one that was told last.
        """
        if self._states.get(job_id) == state:
            return False
        self._states[job_id] = state
        self._states.move_to_end(job_id)
        if len(self._states) > MAX_JOBS:
            self._states.popitem(last=False)
        return True
