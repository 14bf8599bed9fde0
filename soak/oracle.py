"""Promises that the soak checks, from what workers and callers see."""

from __future__ import annotations

import time

# A cancelled job starts nothing after this time, in seconds: a machine that is
# cut off from the coordinator learns of it with its grant, of 13.5 s.
CANCEL_S = 15.0


class Oracle:
    """Hears of each start and end at the workers.

    :ivar violations: broken promises, in words.
    """

    def __init__(self, rng, clock=time.monotonic):
        self.clock = clock
        self.rng = rng
        self.violations = []
        self.live = {}
        self.done = {}
        self.recorded = set()
        self.started = set()
        self.cancelled = {}
        self.failed_hand_ins = set()
        self.starts = 0

    def note_start(self, worker, task, number):
        """Check a start."""
        self.starts += 1
        job = task.split('.')[0]
        self.started.add(job)
        since = self.clock() - self.cancelled.get(job, self.clock())
        if since > CANCEL_S:
            self.violations.append(f'{task} starts {since:.1f} s cancelled')
        for holder in list(self.live.get(task, {}).values()):
            # It ends runs when it is looked at, and may be cut off.
            holder.advance()
        for other in self.live.get(task, {}):
            self.violations.append(
                f'{task} starts as {number} on {worker.name} beside {other}'
            )
        if task in self.recorded:
            self.violations.append(f'{task} starts after its recorded end')
        self.live.setdefault(task, {})[(worker.name, number)] = worker

    def note_cancelled(self, job):
        """Note that the cancelling of a job was acknowledged."""
        self.cancelled.setdefault(job, self.clock())

    def note_end(self, worker, task, number, how, serial):
        """Note an end."""
        self.live.get(task, {}).pop((worker.name, number), None)
        if how == 'done':
            self.done[(worker.name, worker.born, serial)] = task

    def note_gone(self, worker):
        """Note that a worker has crashed with all that ran on it."""
        for runs in self.live.values():
            for key, holder in list(runs.items()):
                if holder is worker:
                    del runs[key]

    def note_observed(self, worker, seen):
        """Note that the ends up to a serial are recorded."""
        for key, task in list(self.done.items()):
            if key[:2] == (worker.name, worker.born) and key[2] <= seen:
                self.recorded.add(task)
                del self.done[key]

    def check_refused(self, refused):
        """Check the jobs whose every hand-in was refused."""
        for job in refused & self.started:
            self.violations.append(f'{job} ran although it was refused')
