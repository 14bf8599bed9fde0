"""Books of the coordinator: the jobs, the workers and their runs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import pass_trace

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work


class Books:
    """Jobs, workers and runs that may exist, without rules about them.

    :ivar changed: whether a change may allow new decisions.
    :ivar counts: number of run events by name since the start, for metrics.
    :ivar jobs: known jobs by id.
    :ivar lost_work: account of the work that ended without success.
    :ivar pass_trace: what the latest placement pass did, for logs.
    :ivar tickets: tickets of the advisor.
    :ivar workers: known workers by lifetime.
    """

    __slots__ = (
        'changed',
        'counts',
        'jobs',
        'lost_work',
        'pass_trace',
        'tickets',
        'workers',
    )

    def __init__(self) -> None:
        self.changed = True
        self.counts: collections.Counter[str] = collections.Counter()
        self.lost_work = lost_work.LostWork()
        self.pass_trace = pass_trace.PassTrace()
        self.tickets = advice.Tickets()
        self.jobs: dict[str, jobs.Job] = {}
        self.workers: dict[work.Lifetime, worker_state.Worker] = {}
