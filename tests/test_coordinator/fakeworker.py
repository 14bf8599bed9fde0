"""Worker of the platform as the fuzzers see it, with an oracle."""

from __future__ import annotations

from damaskpin.agent import calls
from damaskpin.model import work

STOP_S = 0.4
SAVE_S = 0.5
# A longer lease is shortened to this.
MAX_LEASE_S = 4.5


class FakeRun:
    """A run at work."""

    def __init__(self, run, order, until, now):
        self.run = run
        self.order = order
        self.until = until
        self.began = now
        self.stopping = None


class FakeWorker:
    """Fences, run numbers, a lease on its own clock, and ends up to observed.

    :param rate: speed of the worker's clock; 0.98 is the slowest allowed.
    :param on_start: called with each run that begins.
    :param on_end: called with each run that ends.
    """

    def __init__(self, name, born, capacity, rate, on_start, on_end):
        self.lifetime = work.Lifetime(name, born)
        self.capacity = capacity
        self.rate = rate
        self.on_start = on_start
        self.on_end = on_end
        self.origin = 0.0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.observed = 0
        self.serial = 0
        self.alive = True

    def get_clock(self, now):
        return int((now - self.origin) * 1000 * self.rate)

    def advance(self, now):
        """End what has lapsed or was stopped."""
        if self.running and self.get_clock(now) >= self.until:
            for run in list(self.running):
                self._end(run, work.Ending.LAPSED)
        for run, fake in list(self.running.items()):
            if fake.stopping is not None and now >= fake.stopping:
                self._end(run, work.Ending.STOPPED)

    def crash(self):
        """Lose everything."""
        self.alive = False
        for run in list(self.running):
            del self.running[run]
            self.on_end(self, run, None)

    def finish(self, run, ending):
        """Let a run end by itself."""
        self._end(run, ending)

    def hold(self, now, call):
        refusal = self._check(now, call)
        if refusal is not None:
            return refusal
        if call.until is not None:
            self._extend(now, call.until)
        self.observed = max(self.observed, call.observed)
        self.ended = [r for r in self.ended if r.serial > self.observed]
        rows = tuple(
            work.RunningRun(run, self._get_checkpoint(fake, now), 10.0)
            for run, fake in self.running.items()
        )
        return calls.Lists(
            self.get_clock(now), self.lifetime.born, rows, tuple(self.ended)
        )

    def start(self, now, call):
        refusal = self._check(now, call)
        if refusal is not None:
            return refusal
        run = call.order.run
        if run in self.running:
            return calls.Accepted(self.get_clock(now))
        self._extend(now, call.until)
        if run.number <= self.highest.get(run.item, 0):
            return calls.Refused('old')
        if self.get_clock(now) >= call.until:
            return calls.Refused('late')
        self.running[run] = FakeRun(run, call.order, call.until, now)
        self.on_start(self, run, call.order)
        return calls.Accepted(self.get_clock(now))

    def stop(self, now, call):
        refusal = self._check(now, call)
        if refusal is not None:
            return refusal
        run = call.run
        known = self.highest.get(run.item, 0)
        self.highest[run.item] = max(known, run.number)
        fake = self.running.get(run)
        if fake is not None and fake.stopping is None:
            fake.stopping = now + STOP_S
        return calls.Accepted(self.get_clock(now))

    def _extend(self, now, until):
        longest = self.get_clock(now) + int(MAX_LEASE_S * 1000)
        self.until = max(self.until, min(until, longest))

    def _check(self, now, call):
        self.advance(now)
        if not self.alive:
            return calls.Unanswered('no worker')
        if call.lifetime.worker != self.lifetime.worker:
            return calls.Refused('another lifetime')
        if call.fence < self.fence:
            return calls.Refused('fence', outranked=True)
        self.fence = max(self.fence, call.fence)
        return None

    def _get_checkpoint(self, fake, now):
        if now - fake.began < SAVE_S:
            return ''
        return f'{fake.run.item.index}-{fake.run.number}'

    def _end(self, run, ending):
        del self.running[run]
        known = self.highest.get(run.item, 0)
        self.highest[run.item] = max(known, run.number)
        self.serial += 1
        self.ended.append(work.EndedRun(self.serial, run, ending, ''))
        self.on_end(self, run, ending)
