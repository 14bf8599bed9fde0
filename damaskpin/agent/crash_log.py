"""Crashes of an agent's worker, kept for its reports."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.model import crash_limits
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.agent import attempt_state
    from damaskpin.agent import run_lists
    from damaskpin.model import work

LOG = logging.getLogger(__name__)

# Time for which a crash is reported, in seconds. It bridges cuts and elections
# for which agents keep the leases of their workers.
REPORTED_TIME_S = 30.0

MAX_REPORTED_CRASHES = 4

# Number of runs in all reported crashes above which the earlier crashes are
# left out, so that a report stays small.
MAX_REPORTED_RUNS = 4000


class CrashLog:
    """Latest crashes of the worker beside an agent.

    An agent that was restarted together with its worker, as by a power cut,
    knows of no crash.
    """

    __slots__ = ('_crashes',)

    def __init__(self) -> None:
        self._crashes: list[tuple[float, orders.Crash]] = []

    def record(
        self,
        now: float,
        last_answer_time: float,
        lifetime: work.Lifetime,
        lists: run_lists.RunLists,
        called: dict[work.Run, attempt_state.Attempt],
    ) -> None:
        """Record that a worker process ended without notice.

        :param last_answer_time: time of the worker's last answer.
        :param lists: lists of the worker's runs.
        :param called: attempts whose start call may have reached it.
        """
        runs = set(called)
        begun = {run for run in runs if called[run].was_accepted}
        if lists.latest is not None:
            listed = {row.run for row in lists.latest.running}
            begun |= listed
            runs |= listed
        runs.difference_update(lists.recent_ends)
        earliest = last_answer_time - crash_limits.RECENT_START_S
        crash = orders.Crash(
            lifetime,
            _sort_runs(runs),
            _sort_runs(
                {r for r in called if called[r].called_at >= earliest} & runs
            ),
            _sort_runs(begun & runs),
        )
        LOG.warning(
            'worker crashed',
            extra={
                'worker': lifetime.worker,
                'silent': round(now - last_answer_time, 3),
                'runs': len(runs),
                'recent': [_format_run(run) for run in crash.recent],
                'begun': [_format_run(run) for run in crash.begun],
            },
        )
        self._crashes.append((now, crash))
        del self._crashes[:-MAX_REPORTED_CRASHES]

    def list_reported(self, now: float) -> tuple[orders.Crash, ...]:
        """Return the crashes that reports tell the coordinator.

        The latest one is always among them.
        """
        reported: list[orders.Crash] = []
        runs = 0
        for recorded, crash in reversed(self._crashes):
            if now - recorded > REPORTED_TIME_S:
                break
            runs += len(crash.runs)
            if reported and runs > MAX_REPORTED_RUNS:
                break
            reported.append(crash)
        return tuple(reversed(reported))


def _sort_runs(runs: set[work.Run]) -> tuple[work.Run, ...]:
    """Return runs in the order of their names."""
    return tuple(sorted(runs, key=_format_run))


def _format_run(run: work.Run) -> str:
    item = run.item
    return (
        f'{item.job}.{item.occurrence}.{item.step}.{item.index}#{run.number}'
    )
