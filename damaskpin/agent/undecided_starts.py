"""Start calls of an agent that may still be carried out.

The next process of the worker carries a late start call out if it has the same
id, so the run is not gone with the process that the call was made for. What is
known here outlasts the processes of the worker and the coordinators.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from damaskpin.agent import calls

if TYPE_CHECKING:
    from damaskpin.model import work


class UndecidedStarts:
    """Start calls without an answer, as far as an agent process knows.

    A run is undecided while a start call for it may be carried out, and
    decided if all its start calls are known and none of them may. Times are
    seconds on a steady clock.
    """

    __slots__ = (
        '_ended_runs',
        '_known_from',
        '_known_runs',
        '_under_way',
        '_until_by_run',
    )

    def __init__(self) -> None:
        self._known_from = math.inf
        self._under_way: collections.Counter[work.Run] = collections.Counter()
        self._until_by_run: dict[work.Run, float] = {}
        # Runs whose calls are all known, of the worker's current process and
        # of its former ones.
        self._known_runs: set[work.Run] = set()
        self._ended_runs: set[work.Run] = set()

    def start(self, now: float) -> None:
        """Begin; calls of a former process of the agent are not known."""
        self._known_from = now + calls.MAX_CALL_DELAY_S

    def end_process(self) -> None:
        """Record that the worker's process has ended."""
        self._ended_runs |= self._known_runs
        self._known_runs = set()

    def record_call(self, run: work.Run, is_own: bool) -> None:
        """Record that a start call is made.

        :param is_own: whether no other process of the agent has called the
            worker to start the run.
        """
        self._under_way[run] += 1
        if is_own:
            self._known_runs.add(run)

    def record_result(
        self, now: float, run: work.Run, result: calls.Result
    ) -> None:
        """Record the result of a start call."""
        self._under_way[run] -= 1
        if self._under_way[run] <= 0:
            del self._under_way[run]
        if isinstance(result, calls.Unanswered) and result.sent:
            self._until_by_run[run] = now + calls.MAX_CALL_DELAY_S

    def knows_all_calls(self, now: float) -> bool:
        """Return whether no call of a former agent process is carried out."""
        if now <= self._known_from:
            return False
        self._known_runs.clear()
        self._ended_runs.clear()
        return True

    def list_undecided(self, now: float) -> tuple[work.Run, ...]:
        """Return the runs with a call that may still be carried out."""
        for run, until in list(self._until_by_run.items()):
            if until < now:
                del self._until_by_run[run]
        return tuple({**self._until_by_run, **self._under_way})

    def list_decided(self, now: float) -> tuple[work.Run, ...]:
        """Return the decided runs of the worker's former processes.

        Once all calls are known, each run that is not undecided is decided,
        and none is listed here.
        """
        undecided = self.list_undecided(now)
        return tuple(sorted(self._ended_runs.difference(undecided), key=str))
