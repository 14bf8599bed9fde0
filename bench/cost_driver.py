"""Calls a scheduling policy directly and measures the time of every call.

Measured is processor time, which depends least on other load of the machine.
On a free core it equals the time for which a call blocks the event loop.
"""

from __future__ import annotations

import math
import random
import statistics
import time
from typing import TYPE_CHECKING

import msgspec

from bench import fleets
from damaskpin.scheduler import decisions

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs

_SUCCEEDED = decisions.Outcome(decisions.Result.SUCCEEDED)
_CHECKPOINTED = decisions.Outcome(decisions.Result.CHECKPOINTED)
# A scheduler that still starts or stops gangs after this number of calls is
# reported as not settling.
_MAX_SETTLE_CALLS = 5_000


class PhaseTimes(msgspec.Struct, frozen=True):
    """Processor times of one phase of a measurement, in seconds.

    :ivar calls: number of calls of ``decide``.
    :ivar events: total time of the calls other than ``decide``.
    :ivar total: total time of ``decide``.
    :ivar mean: mean time of a call of ``decide``.
    :ivar p99: 99th percentile of the time of a call of ``decide``.
    :ivar longest: longest time of a call of ``decide``.
    :ivar settled: whether ``decide`` stopped starting and stopping gangs.
    """

    calls: int
    events: float
    total: float
    mean: float
    p99: float
    longest: float
    settled: bool = True


class SchedulerDriver:
    """Applies the decisions of a policy at once and times every call.

    :ivar now: simulated time in seconds.
    :ivar running: ids of running jobs.
    :ivar waiting: ids of waiting jobs.
    """

    def __init__(
        self, factory: Callable[..., Any], config: configs.Config, seed: int
    ) -> None:
        self.now = 0.0
        self.running: dict[str, None] = {}
        self.waiting: dict[str, None] = {}
        self._scheduler = factory(config, random.Random(seed))
        self._decide_seconds: list[float] = []
        self._event_seconds = 0.0
        self._settled = True
        for worker in fleets.make_workers(config):
            self._scheduler.set_worker(0.0, worker)

    def submit(self, job: jobs.Job) -> None:
        if self._time_call('submit', job) is None:
            self.waiting[job.id] = None

    def finish_job(self, job_id: str) -> None:
        del self.running[job_id]
        self._time_call('finished', job_id, _SUCCEEDED)

    def cancel(self, job_id: str) -> None:
        del self.waiting[job_id]
        self._time_call('cancel', job_id)

    def decide(self) -> int:
        """Call the policy once and apply its decisions.

        :returns: number of gangs that were started or stopped.
        """
        start = time.process_time()
        result = self._scheduler.decide(self.now)
        self._decide_seconds.append(time.process_time() - start)
        applied = 0
        for decision in result:
            match decision:
                case decisions.Place():
                    del self.waiting[decision.job_id]
                    self.running[decision.job_id] = None
                    attempt = f'{decision.job_id}-1'
                    self._time_call('started', decision.job_id, attempt)
                    applied += 1
                case decisions.Reclaim():
                    del self.running[decision.job_id]
                    self.waiting[decision.job_id] = None
                    self._time_call('finished', decision.job_id, _CHECKPOINTED)
                    applied += 1
        return applied

    def decide_until_settled(self) -> None:
        """Call the policy until it starts and stops no more gangs."""
        for _ in range(_MAX_SETTLE_CALLS):
            if not self.decide():
                return
        self._settled = False

    def end_phase(self) -> PhaseTimes:
        """Return the times since the previous phase and reset them."""
        times = self._decide_seconds or [0.0]
        phase = PhaseTimes(
            calls=len(self._decide_seconds),
            events=self._event_seconds,
            total=sum(times),
            mean=statistics.fmean(times),
            p99=sorted(times)[math.ceil(0.99 * len(times)) - 1],
            longest=max(times),
            settled=self._settled,
        )
        self._decide_seconds = []
        self._event_seconds = 0.0
        self._settled = True
        return phase

    def _time_call(self, name: str, *arguments: object) -> Any:
        start = time.process_time()
        result = getattr(self._scheduler, name)(self.now, *arguments)
        self._event_seconds += time.process_time() - start
        return result


class TimedScheduler:
    """Proxy that measures the processor time of calls to a scheduler.

    :ivar processor: processor seconds of all calls.
    :ivar longest: processor seconds of the longest call of ``decide``.
    :ivar calls: number of calls of ``decide``.
    """

    def __init__(self, scheduler: Any) -> None:
        self._scheduler = scheduler
        self.processor = 0.0
        self.longest = 0.0
        self.calls = 0

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._scheduler, name)

        def timed_call(*arguments: object) -> Any:
            start = time.process_time()
            result = method(*arguments)
            elapsed = time.process_time() - start
            self.processor += elapsed
            self.calls += name == 'decide'
            if name == 'decide':
                self.longest = max(self.longest, elapsed)
            return result

        return timed_call
