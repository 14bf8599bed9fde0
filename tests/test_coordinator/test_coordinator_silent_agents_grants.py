"""Tests of the limited grants of agents in the record of silent agents."""

from __future__ import annotations

from damaskpin.coordinator import silent_agents
from damaskpin.model import work
from tests.test_coordinator import builders

STARTED = 100.0
PROCESS = 'process-1'
ANSWERED_REPORT_S = 10.0


def _record_silent_agent():
    """Return agents' times with a recorded agent, and its worker.

    Its latest report was answered at ``STARTED``.
    """
    ledger = builders.make_ledger(workers=1)
    job = builders.submit(ledger, 'j', builders.make_step())
    (worker,) = ledger.workers.values()
    worker.runs[work.Run(work.Item(job.id, 0, 0, 0), 1)] = None
    worker.process = PROCESS
    worker.granted_report = (PROCESS, ANSWERED_REPORT_S)
    agents = silent_agents.SilentAgents(STARTED)
    agents.record_report(STARTED, worker.agent)
    agents.record_answer(worker.agent, STARTED)
    now = STARTED
    while _make_record(agents, worker, now) is None:
        now += 0.25
    return agents, worker, now + 0.25


def _make_record(agents, worker, now):
    """Return the record that is due, which is stored at once."""
    record = agents.make_due_record(now, 4, [worker])
    if record is not None:
        agents.record_stored()
    return record


def test_next_process_of_a_recorded_agent_gets_no_grant():
    """Guards against a grant by the clock of a restarted machine.

    Its reports have lower times than the last one that was answered.
    """
    agents, worker, _ = _record_silent_agent()
    assert agents.get_grant_limit(worker) is not None
    worker.process = 'process-2'
    assert agents.get_grant_limit(worker) is None


def test_limited_grant_counts_in_the_next_record():
    """Guards against a run that is freed before its agent's grant is over.

    The agent returns, gets a limited grant and falls silent again before
    another report of it is answered.
    """
    agents, worker, now = _record_silent_agent()
    agents.record_report(now, worker.agent)
    worker.granted_report = (PROCESS, agents.get_grant_limit(worker).echo)
    record = _make_record(agents, worker, now)
    assert record is not None
    assert not record.ages
    while not (record := _make_record(agents, worker, now)):
        now += 0.25
    answer = now - record.ages[worker.agent]
    echo = agents.get_grant_limit(worker).echo
    assert echo > ANSWERED_REPORT_S + silent_agents.GRANT_ALLOWANCE_S
    assert answer - STARTED >= echo - ANSWERED_REPORT_S
