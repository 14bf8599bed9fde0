"""Simulated worker for the fuzz tests, which reports starts and ends."""

from __future__ import annotations

from damaskpin.agent import calls
from damaskpin.model import work

STOP_S = 0.4
CHECKPOINT_S = 0.5
# Longest lease that the worker accepts, in seconds.
MAX_LEASE_S = 4.5


class ActiveRun:
    """A run on the simulated worker."""

    def __init__(self, run, order, until, now):
        self.run = run
        self.order = order
        self.lease_end = until
        self.began = now
        self.stopping = None


class FakeWorker:
    """Simulated worker with fencing, run numbers and a lease on its own clock.

    Ended runs are listed until the agent acknowledges their serials, which
    number the ends of runs from 1.

    :param born: start time of the worker process in milliseconds.
    :param clock_rate: speed of the worker's clock as a factor; 0.98 is the
        slowest allowed.
    :param on_start: called when a run begins.
    :param on_end: called when a run ends.
    :param on_noted: called when a listed end is acknowledged, unless the lease
        has lapsed since the end.
    :ivar on_void: called with each listed end that can't be acknowledged any
        more in a way that counts, as the lease has lapsed since.
    :ivar get_percent: function of an active run and the time that returns the
        progress that the worker lists, in percent.
    :ivar draining: whether the worker has announced its end.
    :ivar tells_birth: whether the worker's lists contain its birth.
    :ivar busy: whether the worker is unhealthy and refuses to start runs.
    :ivar resumes_at: time in seconds until which its machine is suspended.
    :ivar first_call: time in seconds and call of the first call that has
        reached the worker; ``None`` before.
    """

    def __init__(
        self, name, born, capacity, clock_rate, on_start, on_end, on_noted
    ):
        self.lifetime = work.Lifetime(name, born)
        self.capacity = capacity
        self.clock_rate = clock_rate
        self.on_start = on_start
        self.on_end = on_end
        self.on_noted = on_noted
        self.on_void = lambda row: None
        self.get_percent = lambda active_run, now: 10.0
        self.draining = False
        self.busy = False
        self.tells_birth = True
        self.first_call = None
        self.unnoted = {}
        self.clock_origin = 0.0
        self.resumes_at = 0.0
        self._stood_still = 0.0
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.highest_numbers = {}
        self.ended = []
        self.observed = 0
        self.serial = 0
        self.alive = True

    def get_clock(self, now):
        elapsed = max(now, self.resumes_at) - self._stood_still
        return int((elapsed - self.clock_origin) * 1000 * self.clock_rate)

    def suspend(self, now, seconds):
        """Let the clock and the runs stand still for some seconds."""
        self.advance(now)
        self.resumes_at = now + seconds
        self._stood_still += seconds
        for active_run in self.running.values():
            if active_run.stopping is not None:
                active_run.stopping += seconds

    def resume(self, now):
        """End a suspension now, if there is one."""
        early = self.resumes_at - now
        if early <= 0:
            return
        self.resumes_at = now
        self._stood_still -= early
        for active_run in self.running.values():
            if active_run.stopping is not None:
                active_run.stopping -= early

    def advance(self, now):
        """End runs whose lease has lapsed or whose stop time has come."""
        if now < self.resumes_at:
            return
        if self.get_clock(now) >= self.lease_end:
            for run in list(self.running):
                self._end(run, work.Ending.LAPSED)
            for row in self.unnoted.values():
                self.on_void(row)
            self.unnoted.clear()
        for run, active_run in list(self.running.items()):
            if active_run.stopping is not None and now >= active_run.stopping:
                self._end(run, work.Ending.STOPPED)

    def crash(self):
        """Crash the worker, which loses all its runs."""
        self.alive = False
        for run in list(self.running):
            del self.running[run]
            self.on_end(self, run, None)

    def finish(self, run, ending):
        """End a run with the given ending."""
        self._end(run, ending)

    def add_foreign_ends(self, count):
        """Add ends of runs of a job that has been forgotten."""
        for number in range(1, count + 1):
            self.serial += 1
            item = work.Item('forgotten', 0, 0, self.serial)
            run = work.Run(item, number)
            self.ended.append(
                work.EndedRun(self.serial, run, work.Ending.FAILED, '')
            )

    def poll(self, now, call):
        refusal = self._check_call(now, call)
        if refusal is not None:
            return refusal
        if call.until is not None:
            self._extend_lease(now, call.until)
        self.observed = max(self.observed, call.observed)
        for serial in sorted(self.unnoted):
            if serial <= self.observed:
                self.on_noted(self, self.unnoted.pop(serial))
        self.ended = [r for r in self.ended if r.serial > self.observed]
        return self.list_runs(now)

    def list_runs(self, now):
        """Return the lists of running and ended runs."""
        ended = tuple(self.ended[: work.MAX_LISTED_ENDS])
        rows = tuple(
            work.RunningRun(
                run,
                self._get_checkpoint(active_run, now),
                self.get_percent(active_run, now),
            )
            for run, active_run in self.running.items()
        )
        return calls.Lists(
            self.get_clock(now),
            self.lifetime.born if self.tells_birth else 0,
            rows,
            ended,
            len(ended) < work.MAX_LISTED_ENDS,
        )

    def start(self, now, call):
        refusal = self._check_call(now, call)
        if refusal is not None:
            return refusal
        run = call.order.run
        if self.busy:
            return calls.Refused('status 503')
        if run in self.running:
            return calls.Accepted(self.get_clock(now))
        self._extend_lease(now, call.until)
        if run.number <= self.highest_numbers.get(run.item, 0):
            return calls.Refused('old')
        if self.get_clock(now) >= call.until:
            return calls.Refused('late')
        self.running[run] = ActiveRun(run, call.order, call.until, now)
        self.on_start(self, run, call.order)
        return calls.Accepted(self.get_clock(now))

    def stop(self, now, call):
        refusal = self._check_call(now, call)
        if refusal is not None:
            return refusal
        run = call.run
        known = self.highest_numbers.get(run.item, 0)
        self.highest_numbers[run.item] = max(known, run.number)
        active_run = self.running.get(run)
        if active_run is not None and active_run.stopping is None:
            active_run.stopping = now + STOP_S
        return calls.Accepted(self.get_clock(now))

    def _extend_lease(self, now, until):
        longest = self.get_clock(now) + int(MAX_LEASE_S * 1000)
        self.lease_end = max(self.lease_end, min(until, longest))

    def _check_call(self, now, call):
        self.advance(now)
        if not self.alive:
            return calls.Unanswered('no worker')
        if self.first_call is None:
            self.first_call = (now, call)
        if call.lifetime.worker != self.lifetime.worker:
            return calls.Refused('another lifetime')
        if call.token < self.fence:
            return calls.Refused('fence', outranked=True)
        self.fence = call.token
        return None

    def _get_checkpoint(self, active_run, now):
        if now - active_run.began < CHECKPOINT_S:
            return ''
        return f'{active_run.run.item.index}-{active_run.run.number}'

    def _end(self, run, ending):
        del self.running[run]
        known = self.highest_numbers.get(run.item, 0)
        self.highest_numbers[run.item] = max(known, run.number)
        self.serial += 1
        self.ended.append(work.EndedRun(self.serial, run, ending, ''))
        self.unnoted[self.serial] = self.ended[-1]
        self.on_end(self, run, ending)
