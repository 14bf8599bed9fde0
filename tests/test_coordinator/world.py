"""Coordinators, agents, workers and a store under faults."""

from __future__ import annotations

import random

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.coordinator import book as books
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import records
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import fakeworker

GRANT_S = 6.0
LEASE_S = 4.0
STOP_S = 0.5
TICK_S = 0.1
WALL = 1_000_000.0
CAPACITY = work.Resources(4000, 4000, 4)


class Place:
    """A machine with a worker and the agent beside it."""

    def __init__(self, index):
        self.name = f'agent-{index}'
        self.worker = None
        self.agent = None
        self.cut = False
        self.muted = False
        self.beat = 0.0


class World:
    """Everything, driven by one random source and one clock.

    The oracle is checked on each start: no second run of a work item at the
    same time, none after a recorded end, none of a step before its
    predecessors, no more failed runs than allowed, none beyond capacity.
    """

    def __init__(self, seed, places=3):
        self.random = random.Random(seed)
        self.now = 100.0
        self.fence = 0
        self.store = {}
        self.submissions = {}
        self.cancelled = set()
        self.coordinator = None
        self.places = [Place(i) for i in range(places)]
        self.lives = 0
        self.late = []
        self.mail = []
        self.live_runs = {}
        self.starts = 0
        self.loss = 0.0
        self.lateness = 0.0
        for place in self.places:
            self.restart_worker(place)
            self.restart_agent(place)
        self.elect()

    # Faults and actions

    def restart_worker(self, place):
        """Replace a worker; it may keep its id, and its heartbeat be late."""
        self.lives += 1
        name = f'w{self.lives}'
        if place.worker is not None:
            place.worker.crash()
            if self.random.random() < 0.5:
                name = place.worker.lifetime.worker
        place.worker = fakeworker.FakeWorker(
            name,
            self.lives,
            CAPACITY,
            self.random.choice([0.98, 1.0]),
            self._note_start,
            self._note_end,
        )
        place.worker.origin = self.now
        place.beat = self.now + self.random.uniform(0.0, 1.0)

    def restart_agent(self, place):
        place.agent = agents.Agent(place.name, GRANT_S, LEASE_S, STOP_S)
        place.beat = self.now + self.random.uniform(0.0, 1.0)

    def elect(self):
        """Start a coordinator from what the store has."""
        self.fence += 1
        book = books.Book(self.now, GRANT_S, STOP_S)
        self.coordinator = coordinators.Coordinator(
            'c', self.fence, book, None
        )
        for job_id in self.submissions:
            self._take_over(job_id)

    def submit(self, steps, attempts=2):
        job_id = f'{len(self.submissions):016x}'
        terms = work.Terms('q', 's', self.random.randrange(3), attempts, 2.0)
        submission = work.Submission(
            job_id, 'a', 'content', steps, terms, WALL + self.now
        )
        self.submissions[job_id] = submission
        self._take_over(job_id)

    def cancel(self, job_id):
        self.cancelled.add(job_id)
        self.coordinator.cancel_job(WALL + self.now, job_id)

    def end_run(self, choice, ending):
        running = [
            (place.worker, run)
            for place in self.places
            for run in place.worker.running
        ]
        if not running:
            return
        worker, run = running[choice % len(running)]
        if ending is work.Ending.DONE and not self._is_together(run):
            return
        worker.finish(run, ending)
        if ending is work.Ending.DONE:
            self._end_gang(run)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(int(seconds / TICK_S)):
            self.now += TICK_S
            self._tick()

    def settle(self):
        """Heal everything and let all work be done."""
        self.loss = 0.0
        self.lateness = 0.0
        for place in self.places:
            place.cut = False
            place.muted = False
        for _ in range(900):
            self.now += TICK_S
            self._tick()
            for place in self.places:
                for run in list(place.worker.running):
                    if run in place.worker.running:
                        self.end_run(0, work.Ending.DONE)
            if all(self._is_over(job_id) for job_id in self.submissions):
                return
        raise AssertionError('work is left that nobody does')

    # One step

    def _tick(self):
        for place in self.places:
            place.worker.advance(self.now)
            self._drive(place)
        self._deliver_late()
        for item in list(self.late):
            due, worker, call = item
            if due <= self.now:
                self.late.remove(item)
                # A crash ends what the worker had put off.
                if worker.alive:
                    self._carry(worker, call)
        self.coordinator.decide(self.now, WALL + self.now)
        self._write()
        for worker in self.coordinator.pop_due():
            place = self._find_place(worker.agent)
            if not place.cut and not self._is_lost():
                self._deliver(place, self.coordinator.make_orders(worker))

    def _drive(self, place):
        agent = place.agent
        if self.now >= place.beat:
            place.beat = self.now + 1.0
            self._beat(place)
        for call in agent.take_calls(self.now):
            result = self._send(place, call)
            match call:
                case calls.StartCall():
                    agent.note_start(self.now, call, result)
                case calls.StopCall():
                    agent.note_stop(self.now, call, result)
        hold = agent.make_hold(self.now)
        if hold is not None:
            sent = self.now
            result = self._send(place, hold)
            agent.note_held(self.now, sent, hold, result)
        if place.cut or not agent.is_report_due(self.now):
            return
        report = agent.make_report(self.now)
        if self._is_lost():
            return
        self._deliver(place, report)

    def _deliver_late(self):
        for item in list(self.mail):
            due, place, message = item
            if due <= self.now:
                self.mail.remove(item)
                self._receive(place, message)

    def _deliver(self, place, message):
        """Deliver a report or orders, at times after later ones."""
        if self.random.random() < self.lateness:
            due = self.now + self.random.uniform(0.2, 3.0)
            self.mail.append((due, place, message))
            return
        self._receive(place, message)

    def _receive(self, place, message):
        if place.cut:
            return
        match message:
            case orders.Orders():
                place.agent.handle_orders(self.now, message)
            case orders.Report(fence=fence) if fence <= self.coordinator.fence:
                worker = self.coordinator.handle_report(
                    self.now, WALL + self.now, message, place.name
                )
                if worker is not None and not self._is_lost():
                    made = self.coordinator.make_orders(worker)
                    self._deliver(place, made)

    def _send(self, place, call):
        """Carry a call out now, later, or with a lost answer."""
        if place.muted:
            # Cut off both ways, or its answers only.
            if self.random.random() < 0.5:
                self._carry(place.worker, call)
            return calls.Unanswered('cut off')
        if self.random.random() < self.lateness:
            due = self.now + self.random.uniform(0.5, 5.0)
            self.late.append((due, place.worker, call))
            return calls.Unanswered('late')
        result = self._carry(place.worker, call)
        if self._is_lost():
            return calls.Unanswered('answer lost')
        return result

    def _carry(self, worker, call):
        match call:
            case calls.HoldCall():
                return worker.hold(self.now, call)
            case calls.StartCall():
                return worker.start(self.now, call)
            case calls.StopCall():
                return worker.stop(self.now, call)

    def _write(self):
        for job in self.coordinator.collect_dirty():
            if self._is_lost():
                continue
            self.store[job.id] = records.encode_progress(job.progress)
            self.coordinator.note_stored(job.id, job.progress.version)

    def _take_over(self, job_id):
        progress = records.Progress()
        if job_id in self.store:
            progress = records.decode_progress(self.store[job_id])
        job = jobs.Job(self.submissions[job_id], progress)
        self.coordinator.add_job(self.now, job)
        if job_id in self.cancelled:
            self.coordinator.cancel_job(WALL + self.now, job_id)

    def _beat(self, place):
        worker = place.worker
        profile = orders.WorkerProfile(
            worker.lifetime, 's', 'dc', 'r1', ('a', 'r1'), CAPACITY, False, 0.0
        )
        clock = worker.get_clock(self.now)
        place.agent.handle_heartbeat(self.now, profile, clock)

    def _is_lost(self):
        return self.random.random() < self.loss

    def _find_place(self, name):
        for place in self.places:
            if place.name == name:
                return place
        raise KeyError(name)

    def _is_over(self, job_id):
        job = self.coordinator.jobs[job_id]
        return job.is_final() and not list(job.iterate_active())

    def _is_together(self, run):
        """Return whether a gang is at work: all its members are there."""
        step = self.submissions[run.item.job].steps[run.item.step]
        if not step.gang:
            return True
        present = [
            other
            for place in self.places
            for other in place.worker.running
            if other.get_gang() == run.get_gang()
        ]
        return len(present) == step.count

    def _end_gang(self, run):
        step = self.submissions[run.item.job].steps[run.item.step]
        if not step.gang:
            return
        for place in self.places:
            for other in list(place.worker.running):
                if other.get_gang() == run.get_gang():
                    place.worker.finish(other, work.Ending.DONE)

    # Oracle

    def _note_start(self, worker, run, order):
        self.starts += 1
        submission = self.submissions[run.item.job]
        step = submission.steps[run.item.step]
        others = self.live_runs.setdefault(run.item, set())
        assert not others, f'{run} starts beside {others}'
        others.add(run)
        progress = records.Progress()
        if run.item.job in self.store:
            progress = records.decode_progress(self.store[run.item.job])
        steps = progress.occurrences.get(0)
        assert steps is not None, 'a run starts that no record names'
        numbers = steps[run.item.step].numbers
        slot = 0 if step.gang else run.item.index
        assert run.number <= numbers.get(slot, 0)
        done = steps[run.item.step].done
        assert run.item.index not in done, f'{run} starts after its end'
        for before in step.after:
            count = submission.steps[before].count
            assert len(steps[before].done) >= count, f'{run} starts early'
        failures = steps[run.item.step].failures.get(slot, 0)
        assert failures < submission.terms.attempts
        used = work.Resources()
        for other in worker.running:
            known = self.submissions[other.item.job].steps[other.item.step]
            used = used.plus(known.get_reserved())
        assert CAPACITY.holds(used), f'{worker.lifetime} holds too much'

    def _note_end(self, worker, run, ending):
        self.live_runs[run.item].discard(run)
