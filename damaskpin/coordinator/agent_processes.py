"""Processes of the agents, and which of their reports still count.

A report that was delayed may come from a former process of its agent, which
knew nothing of the calls that its successor makes, or may be overtaken by a
later report of the same process.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


class _Agent:
    """What is known of one agent.

    :ivar process: id of its current process.
    :ivar former: ids of the processes that it had before.
    :ivar sequence: number of the latest report of the current process.
    """

    __slots__ = ('former', 'process', 'sequence')

    def __init__(self, process: str) -> None:
        self.process = process
        self.former: set[str] = set()
        self.sequence = 0


class AgentProcesses:
    """Current process of each agent that this coordinator has heard of.

    The first report of a process makes it the current one. If that report was
    overtaken by one of its successor, the successor is told so and reports
    under a new id. Such a delayed report holds no lists that were read for
    this coordinator, and does not know its fencing token.
    """

    __slots__ = ('_agents',)

    def __init__(self) -> None:
        self._agents: dict[str, _Agent] = {}

    def is_superseded(self, report: orders.Report) -> bool:
        """Return whether a later process of the agent has reported."""
        agent = self._agents.get(report.agent)
        return agent is not None and report.process in agent.former

    def admit(self, report: orders.Report) -> bool:
        """Return whether a report is newer than all that were admitted."""
        if not report.process:
            # The agent does not tell its process.
            return True
        if self.is_superseded(report):
            return False
        agent = self._agents.get(report.agent)
        if agent is None:
            agent = self._agents[report.agent] = _Agent(report.process)
        if agent.process != report.process:
            LOG.info(
                'agent has a new process',
                extra={
                    'agent': report.agent,
                    'agent_process': report.process,
                    'former_process': agent.process,
                },
            )
            agent.former.add(agent.process)
            agent.process = report.process
            agent.sequence = 0
        if report.sequence <= agent.sequence:
            return False
        agent.sequence = report.sequence
        return True

    def get_process(self, agent: str) -> str:
        """Return the current process of an agent; empty if it is unknown."""
        known = self._agents.get(agent)
        return '' if known is None else known.process

    def get_session(self, agent: str) -> int:
        """Return the number of the current process of an agent, from 1."""
        known = self._agents.get(agent)
        return 0 if known is None else len(known.former) + 1
