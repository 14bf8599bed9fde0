"""Tests of the runs of a worker that has announced its end."""

from __future__ import annotations

import msgspec

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
WALL = builders.WALL
FENCE = 4
LEASE_S = 4.0


class Fleet:
    """Two workers, a run on one of them, and the agent beside that one."""

    def __init__(self):
        self.ledger = builders.make_ledger(workers=2)
        self.coordinator = coordinators.Coordinator(
            'c', FENCE, self.ledger, None
        )
        self.job = builders.submit(self.ledger, 'job', builders.make_step())
        builders.decide(self.ledger)
        self.coordinator.record_stored('job', self.job.progress.version)
        (self.worker,) = [w for w in self.ledger.workers.values() if w.runs]
        (self.run,) = self.worker.runs
        self.agent = self.start_agent(NOW)

    def start_agent(self, now):
        """Start an agent process, to which the worker registers."""
        agent = agents.Agent(
            self.worker.agent, builders.GRANT_S, LEASE_S, builders.STOP_S
        )
        agent.start(now)
        agent.handle_heartbeat(now + 0.01, self.worker.profile, _read(now))
        return agent

    def exchange(self, now):
        """Deliver a report, and the orders that answer it."""
        report = self.agent.make_report(now)
        worker = self.coordinator.handle_report(now, WALL, report, 'address')
        if worker is not None:
            orders = self.coordinator.make_orders(worker)
            self.agent.handle_orders(now, orders)
        for other in self.ledger.workers.values():
            other.last_report_time = now
        self.coordinator.decide(now, WALL + now - NOW)

    def start_run(self, now):
        """Let the agent start the run, which the worker lists from then on."""
        self.exchange(now)
        (call,) = self.agent.collect_due_calls(now)
        self.agent.handle_start_result(now, call, calls.Accepted(_read(now)))
        self.poll(now, (self.run,))
        self.exchange(now)

    def drain(self, now):
        """Let the worker announce that it drains."""
        profile = msgspec.structs.replace(
            self.worker.profile, draining=True, remaining=5.0
        )
        self.agent.handle_heartbeat(now, profile, _read(now))
        self.exchange(now)

    def poll(self, now, running, result=None):
        """Poll the worker, which lists runs or has another result."""
        if result is None:
            rows = tuple(work.RunningRun(run, '', 5.0) for run in running)
            born = self.worker.lifetime.born
            result = calls.Lists(_read(now), born, rows, ())
        self.agent.collect_due_calls(now)
        poll = self.agent.make_poll(now)
        if poll is not None:
            self.agent.handle_poll_result(now, now, poll, result)

    def list_workers(self):
        """Return the ids of the workers that have runs of the job."""
        workers = self.ledger.workers.values()
        return [w.lifetime.worker for w in workers if w.runs]


def _read(now):
    """Return the worker's clock in milliseconds."""
    return int(now * 1000)


def test_run_stays_with_a_worker_that_answers_after_its_notice():
    """Guards against a run that executes twice.

    A worker whose notice is acknowledged too late goes on with its runs. The
    work item may start elsewhere only when the process has ended.
    """
    fleet = Fleet()
    fleet.start_run(NOW + 0.1)
    fleet.drain(NOW + 1.0)
    former = fleet.worker.lifetime.worker
    fleet.agent.handle_leave(NOW + 2.0, former)
    now = NOW + 2.0
    for _ in range(8):
        now += 0.25
        fleet.poll(now, (fleet.run,))
        fleet.exchange(now)
        assert fleet.list_workers() == [former], 'the run is free'
    refused = calls.Unanswered('refused', sent=False, refused=True)
    fleet.poll(now + 0.05, (), refused)
    fleet.exchange(now + 0.05)
    (successor,) = fleet.list_workers()
    assert successor != former


def test_run_stays_with_its_worker_if_the_agent_restarts_after_the_notice():
    """Guards against a run that executes twice.

    The agent that has read the notice is killed before it has acknowledged
    it. Its next process knows nothing of the notice.
    """
    fleet = Fleet()
    fleet.start_run(NOW + 0.1)
    fleet.drain(NOW + 1.0)
    former = fleet.worker.lifetime.worker
    fleet.agent.handle_leave(NOW + 2.0, former)
    fleet.exchange(NOW + 2.0)
    fleet.agent = fleet.start_agent(NOW + 2.5)
    now = NOW + 2.5
    for _ in range(8):
        now += 0.25
        fleet.exchange(now)
        fleet.poll(now, (fleet.run,))
        assert fleet.list_workers() == [former], 'the run is free'
