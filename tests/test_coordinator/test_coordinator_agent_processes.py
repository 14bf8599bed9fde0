"""Tests of which agent process the coordinator listens to."""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.coordinator import agent_processes


def _make_agent():
    return agents.Agent('agent-1', 9.0, 4.0, 0.5)


def test_report_that_was_overtaken_is_not_admitted():
    """Guards against a decision by an older state of a worker."""
    processes = agent_processes.AgentProcesses()
    agent = _make_agent()
    earlier = agent.make_report(1.0)
    later = agent.make_report(1.5)
    assert processes.admit(later)
    assert not processes.admit(earlier)
    assert not processes.admit(later)


def test_living_process_is_heard_again_after_a_late_report_of_its_former():
    """Guards against an agent that is ignored for ever.

    The first report of the former process arrives after one of its successor.
    """
    processes = agent_processes.AgentProcesses()
    former, agent = _make_agent(), _make_agent()
    assert processes.admit(agent.make_report(1.0))
    assert processes.admit(former.make_report(1.0))
    refused = agent.make_report(1.5)
    assert processes.is_superseded(refused)
    assert not processes.admit(refused)
    agent.handle_superseded(refused.process)
    report = agent.make_report(1.6)
    assert not processes.is_superseded(report)
    assert processes.admit(report)
    assert processes.get_process('agent-1') == agent.process


def test_answer_to_an_older_id_does_not_change_the_id_again():
    """Guards against a new id for each refused report under way."""
    agent = _make_agent()
    first = agent.process
    agent.handle_superseded(first)
    second = agent.process
    agent.handle_superseded(first)
    assert agent.process == second != first
