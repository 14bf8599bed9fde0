"""Kinds of jobs that the traces of the two deployments are drawn from."""

from __future__ import annotations

import dataclasses

from damaskpin.model import job as jobs


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """Distribution of the jobs of one client account.

    :ivar share: share of all jobs.
    :ivar gang_sizes: possible numbers of accelerators of a gang, with weights.
    :ivar median_run_seconds: median of the true run time in seconds.
    :ivar submit_window: begin and end of the submissions as shares of the
        horizon.
    :ivar bursts: number of bursts; 0 spreads the submissions evenly.
    :ivar shape: name of the guaranteed shape that jobs request, or ``None``.
    :ivar shape_size: accelerators of the guaranteed shape.
    :ivar shape_for_smaller_gangs: whether gangs smaller than the guaranteed
        shape request it too.
    """

    account: str
    share: float
    gang_sizes: dict[int, float]
    median_run_seconds: float
    priority: jobs.Priority
    submit_window: tuple[float, float] = (0.0, 1.0)
    bursts: int = 0
    shape: str | None = None
    shape_size: int = 0
    shape_for_smaller_gangs: bool = False


_URGENT = jobs.Priority.URGENT
_HIGH = jobs.Priority.HIGH
_NORMAL = jobs.Priority.NORMAL
_LOW = jobs.Priority.LOW

JOB_KINDS = {
    'shortlist': (
        JobKind(
            'screening', 0.35, {1: 2, 2: 3, 4: 2}, 300, _URGENT, (0.3, 1.0),
            bursts=14, shape='screen', shape_size=4,
            shape_for_smaller_gangs=True,
        ),
        JobKind(
            'scoring', 0.35, {1: 3, 2: 3, 4: 3, 8: 4, 16: 2, 24: 1}, 5400,
            _NORMAL, (0.0, 0.85),
        ),
        JobKind(
            'agency', 0.12, {16: 2, 24: 1}, 2400, _NORMAL, shape='pitch',
            shape_size=16,
        ),
        JobKind('founders', 0.18, {1: 3, 2: 2}, 900, _LOW),
    ),
    'repair': (
        JobKind(
            'counters', 0.55, {1: 6, 2: 3, 4: 1}, 900, _NORMAL, bursts=11
        ),
        JobKind(
            'matching', 0.25, {8: 2, 12: 2, 16: 4, 20: 1, 24: 2}, 4500,
            _NORMAL, shape='seam', shape_size=16,
        ),
        JobKind(
            'museum', 0.08, {8: 1}, 2400, _HIGH, shape='textile', shape_size=8
        ),
        JobKind('workshop', 0.12, {1: 2, 2: 2, 4: 2, 8: 1}, 1800, _LOW),
    ),
}  # fmt: skip
# Accelerators of a gang at design size, with weights. Most jobs run for hours
# there, and the largest gangs have 128 tasks.
LARGE_GANG_SIZES = {
    'screening': {1: 2, 2: 3},
    'scoring': {1: 2, 4: 3, 10: 4, 32: 3, 64: 2, 128: 1},
    'agency': {32: 2, 64: 1},
    'founders': {1: 3, 2: 2},
    'counters': {1: 6, 2: 4},
    'matching': {16: 3, 32: 4, 64: 3, 128: 1},
    'museum': {8: 1},
    'workshop': {1: 2, 2: 2, 8: 2},
}
LARGE_RUN_TIME_FACTOR = 2.5
