"""Tests of reports that reach a coordinator after newer ones.

A cut or a frozen machine may hold up a report for seconds, while later
reports arrive over another connection.
"""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import ledger as ledgers
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
WALL = builders.WALL
FENCE = 4
LEASE_S = 4.0


def _make_coordinator_with_run():
    """Return a coordinator with a stored run, and the run and its worker."""
    ledger = builders.make_ledger(workers=2)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    coordinator.record_stored('job', job.progress.version)
    (worker,) = [w for w in ledger.workers.values() if w.runs]
    (run,) = worker.runs
    return coordinator, worker, run


def _start_agent(worker, now):
    """Return an agent process that has just heard from its worker."""
    agent = agents.Agent(
        worker.agent, builders.GRANT_S, LEASE_S, builders.STOP_S
    )
    agent.start(now)
    clock = int(now * 1000)
    agent.handle_heartbeat(now + 0.1, worker.profile, clock)
    return agent


def _report(coordinator, report, now):
    """Deliver a report; return the coordinator's orders in answer to it."""
    worker = coordinator.handle_report(now, WALL + now, report, 'address')
    return coordinator.make_orders(worker)


def _poll(agent, now, running=()):
    poll = agent.make_poll(now)
    rows = tuple(work.RunningRun(run, '', 5.0) for run in running)
    lists = calls.Lists(int(now * 1000), agent.profile.lifetime.born, rows, ())
    agent.handle_poll_result(now, now, poll, lists)


def test_late_refusal_of_a_former_agent_process_does_not_free_the_run():
    """Guards against a run that executes twice.

    An agent process reports a start as refused and is killed. Its successor
    starts the same run before the report arrives.
    """
    coordinator, worker, run = _make_coordinator_with_run()
    former = _start_agent(worker, NOW)
    answer = _report(coordinator, former.make_report(NOW + 0.1), NOW + 0.1)
    former.handle_orders(NOW + 0.1, answer)
    _poll(former, NOW + 0.1)
    (call,) = former.collect_due_calls(NOW + 0.1)
    former.handle_start_result(NOW + 0.1, call, calls.Refused('status 503'))
    late_report = former.make_report(NOW + 0.2)

    agent = _start_agent(worker, NOW + 2.0)
    answer = _report(coordinator, agent.make_report(NOW + 2.1), NOW + 2.1)
    agent.handle_orders(NOW + 2.1, answer)
    _poll(agent, NOW + 2.1)
    (call,) = agent.collect_due_calls(NOW + 2.1)
    assert call.order.run == run
    agent.handle_start_result(NOW + 2.1, call, calls.Accepted(102_100))
    _poll(agent, NOW + 2.2, running=(run,))
    _report(coordinator, agent.make_report(NOW + 2.2), NOW + 2.2)

    coordinator.handle_report(NOW + 2.3, WALL, late_report, 'address')
    assert run in worker.runs, 'the run is free to start elsewhere'


def test_late_report_of_silence_does_not_undo_a_predecessors_grant():
    """Guards against a run that executes twice.

    After an agent has reported that its worker is silent, the worker answers
    again and the coordinator renews the grant. A new coordinator that gets
    only the report of the silence must not count on the end of that lease.
    """
    predecessor, worker, run = _make_coordinator_with_run()
    agent = _start_agent(worker, NOW)
    answer = _report(predecessor, agent.make_report(NOW + 0.1), NOW + 0.1)
    agent.handle_orders(NOW + 0.1, answer)
    _poll(agent, NOW + 0.1)
    (call,) = agent.collect_due_calls(NOW + 0.1)
    agent.handle_start_result(NOW + 0.1, call, calls.Accepted(100_100))
    _poll(agent, NOW + 0.2, running=(run,))
    for step in range(1, 15):
        now = NOW + 0.2 + step * 0.2
        agent.collect_due_calls(now)
        unanswered = calls.Unanswered('timeout')
        agent.handle_poll_result(now, now, agent.make_poll(now), unanswered)
    late_report = agent.make_report(NOW + 3.2)
    assert late_report.silence
    _poll(agent, NOW + 3.3, running=(run,))
    answer = _report(predecessor, agent.make_report(NOW + 3.4), NOW + 3.4)
    agent.handle_orders(NOW + 3.4, answer)

    started = NOW + 3.5
    ledger = ledgers.RunLedger(started, builders.GRANT_S, builders.STOP_S)
    successor = coordinators.Coordinator('d', FENCE + 1, ledger, None)
    successor.add_job(started, predecessor.jobs['job'])
    successor.handle_report(NOW + 3.6, WALL, late_report, 'address')

    lease_end = 0.0
    for step in range(10):
        now = NOW + 3.6 + step
        until = agent.make_poll(now).until
        _poll(agent, now, running=(run,))
        lease_end = max(lease_end, (until or 0) / 1000)
        successor.decide(now, WALL)
        is_kept = any(run in w.runs for w in ledger.workers.values())
        assert is_kept or lease_end <= now, (
            f'the run is free at {now} s and has a lease until {lease_end} s'
        )
