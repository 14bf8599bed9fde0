"""Agents that have not reported for some time, and their stored record.

An agent that is lost with its machine may renew its worker's lease until the
end of its grant, which counts from the latest report that a coordinator has
answered. The record tells the next coordinator how long ago that was. From the
time at which a record is made, the coordinator answers no later report of an
agent in it until a record without the agent is stored. An agent that returns
meanwhile gets a grant that is limited by what the record says.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from damaskpin import decoding
from damaskpin.coordinator import run_ends

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.coordinator import grants
    from damaskpin.coordinator import worker_state

# Seconds without a report after which an agent is recorded as silent. An agent
# that has lost its coordinator asks other entries before that.
MIN_SILENCE_S = 2.0

# Minimum time in seconds between two checks for newly silent agents. Those of
# a zone that is lost are then recorded in one or two writes.
CHECK_INTERVAL_S = 0.5

# Longest interval in seconds between two checks of a coordinator that answers
# reports without a break.
MAX_CHECK_GAP_S = 1.0

# Seconds that are added to the time of the latest answered report in a record.
# Within them an agent that returns gets a grant at once, so that the time that
# the store takes does not count towards a cut that the grant just outlasts.
GRANT_ALLOWANCE_S = 0.5

# Maximum number of agents in a record. The runs of others are kept for as long
# as without a record.
MAX_AGENTS = 500


class SilenceRecord(msgspec.Struct, frozen=True):
    """Stored record of the silent agents.

    :ivar fence: fencing token of the coordinator that made the record. The
        record proves nothing once another coordinator has followed.
    :ivar number: number of the record, from 1 for each coordinator.
    :ivar ages: seconds since the latest answered report, when the record was
        made, by the agent's instance id.
    """

    fence: int
    number: int
    ages: dict[str, float]


class GrantLimit(msgspec.Struct, frozen=True):
    """Limit of the grant of a recorded agent.

    :ivar process: process of the agent that may have the grant; empty for
        none.
    :ivar echo: latest time of a report to be echoed, by the agent's clock.
    :ivar answer: time in seconds to which the record moves the latest answered
        report.
    """

    process: str
    echo: float
    answer: float


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(SilenceRecord)


def encode_record(record: SilenceRecord) -> bytes:
    """Return the stored form of a record as JSON."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> SilenceRecord:
    """Return a record from its stored form.

    :raises damaskpin.errors.MalformedError: the data is malformed.
    """
    return decoding.decode(_DECODER.decode, data)


class SilentAgents:
    """Times of the agents' reports under one coordinator.

    :param started: time at which the coordinator began, in seconds. Former
        coordinators may have given grants until then, unless
        ``last_former_grant`` is known.
    :param former_answers: time in seconds of the latest report that a former
        coordinator may have answered, by agent, for those that it has
        recorded as silent.
    :param last_former_grant: latest time in seconds from which a grant of a
        former coordinator counts; ``None`` if it is not known.
    :ivar started: time at which the coordinator began, in seconds.
    """

    __slots__ = (
        '_answers',
        '_former_answers',
        '_is_told',
        '_last_check',
        '_last_former_grant',
        '_limits',
        '_listed',
        '_next_check',
        '_number',
        '_reports',
        '_steady_since',
        '_written',
        'started',
    )

    def __init__(
        self,
        started: float,
        former_answers: dict[str, float] | None = None,
        last_former_grant: float | None = None,
    ) -> None:
        self.started = started
        self._former_answers = dict(former_answers or {})
        self._last_former_grant = started
        # Whether the former coordinator has told its last grants.
        self._is_told = False
        if last_former_grant is not None:
            self._last_former_grant = min(last_former_grant, started)
        self._reports: dict[str, float] = {}
        self._answers: dict[str, float] = {}
        # Of the agents in the stored record and in the one that is written.
        self._limits: dict[str, GrantLimit] = {}
        self._listed: frozenset[str] = frozenset()
        self._written: frozenset[str] | None = None
        self._number = 0
        self._last_check = started
        self._steady_since = started
        self._next_check = started

    def find_former_grant(self, agent: str) -> tuple[float, run_ends.Evidence]:
        """Return the latest time from which a grant of others counts.

        :returns: the time in seconds, and what it follows from.
        """
        last_grant = self._last_former_grant
        recorded = self._former_answers.get(agent, last_grant)
        if self._is_told:
            answer = min(recorded, last_grant)
            return (answer, run_ends.Evidence.FORMER_COORDINATOR)
        if recorded < last_grant:
            return (recorded, run_ends.Evidence.SILENCE_RECORD)
        if last_grant < self.started:
            return (last_grant, run_ends.Evidence.FORMER_LEASE)
        return (self.started, run_ends.Evidence.TAKEOVER)

    def apply_last_grants(self, last_grants: grants.LastGrants) -> None:
        """Apply what the former coordinator tells of its last grants."""
        self._is_told = True
        self._last_former_grant = min(
            self._last_former_grant, last_grants.latest
        )
        for agent, time in last_grants.earlier.items():
            if not self.has_reported(agent):
                recorded = self._former_answers.get(agent, time)
                self._former_answers[agent] = min(recorded, time)

    def has_reported(self, agent: str) -> bool:
        """Return whether an agent has reported to this coordinator."""
        return agent in self._reports

    def get_last_answer(self, agent: str) -> float:
        """Return the time of the agent's latest answered report in seconds.

        For a recorded agent, it is the time that the record says.
        """
        limit = self._limits.get(agent)
        if limit is not None:
            return limit.answer
        answer = self._answers.get(agent)
        if answer is None:
            return self.find_former_grant(agent)[0]
        return answer

    def record_report(self, now: float, agent: str) -> bool:
        """Record that a report of an agent has arrived.

        :returns: whether the record of a former coordinator had the agent,
            which proves nothing about it from now on.
        """
        self._reports[agent] = now
        if agent in self._listed:
            self._next_check = now
        return self._former_answers.pop(agent, None) is not None

    def record_answer(self, agent: str, report_time: float) -> None:
        """Record that a report of an agent is answered with orders.

        :param report_time: time in seconds at which the report arrived.
        """
        latest = max(self.get_last_answer(agent), report_time)
        self._answers[agent] = latest

    def may_answer(self, agent: str, report_time: float) -> bool:
        """Return whether orders may answer a report of an agent.

        Orders that repeat the answer to an earlier report renew nothing.

        :param report_time: time in seconds at which the report arrived.
        """
        limit = self._limits.get(agent)
        return limit is None or report_time <= limit.answer

    def get_grant_limit(
        self, worker: worker_state.Worker
    ) -> GrantLimit | None:
        """Return the limit of the grant that a recorded agent may get.

        :returns: ``None`` if it may get none.
        """
        limit = self._limits.get(worker.agent)
        if limit is None or not limit.process:
            return None
        return limit if limit.process == worker.process else None

    def make_due_record(
        self,
        now: float,
        fence: int,
        workers: Iterable[worker_state.Worker],
    ) -> SilenceRecord | None:
        """Return the record that is to be written now, if any.

        From then on the agents in it get no answer. The record must be written
        again until it is stored or another coordinator has followed.
        """
        self._detect_break(now)
        if self._written is not None or now < self._next_check:
            return None
        self._next_check = now + CHECK_INTERVAL_S
        silent = self._find_silent(now, workers)
        if silent.keys() == self._listed:
            return None
        for agent, worker in silent.items():
            if agent not in self._limits:
                self._limits[agent] = self._make_limit(worker)
        self._written = frozenset(silent)
        self._number += 1
        ages = {agent: now - self._limits[agent].answer for agent in silent}
        return SilenceRecord(fence, self._number, ages)

    def record_stored(self) -> frozenset[str]:
        """Record that the latest record is stored.

        :returns: agents whose reports may be answered again.
        """
        if self._written is None:
            return frozenset()
        released = self._listed - self._written
        if any(
            self._reports.get(agent, -math.inf) > self.get_last_answer(agent)
            for agent in self._written
        ):
            self._next_check = self._last_check
        for agent in released:
            # The limited grants that it may have had count as an answer.
            self._answers[agent] = self._limits.pop(agent).answer
        self._listed = self._written
        self._written = None
        return released

    def _detect_break(self, now: float) -> None:
        """Start the time without reports anew after a break in answering."""
        if now - self._last_check > MAX_CHECK_GAP_S:
            self._steady_since = now
        self._last_check = now

    def _find_silent(
        self, now: float, workers: Iterable[worker_state.Worker]
    ) -> dict[str, worker_state.Worker]:
        """Return the silent agents, each with its latest worker."""
        silent: dict[str, worker_state.Worker] = {}
        excluded: set[str] = set()
        for worker in workers:
            agent = worker.agent
            if worker.get_last_lease_end() > worker.latest_run_end:
                # Its lease may outlast the grant, as only this coordinator
                # knows.
                excluded.add(agent)
            elif worker.runs and self._is_silent(now, agent):
                other = silent.get(agent, worker)
                if other.last_report_time <= worker.last_report_time:
                    silent[agent] = worker
        names = sorted(silent.keys() - excluded, key=self.get_last_answer)
        return {agent: silent[agent] for agent in names[:MAX_AGENTS]}

    def _make_limit(self, worker: worker_state.Worker) -> GrantLimit:
        """Return the limit of the grant of an agent that is recorded now."""
        answer = self.get_last_answer(worker.agent)
        process, report_time = worker.granted_report
        if worker.agent not in self._answers or not process:
            # The agent's latest grant is another coordinator's.
            return GrantLimit('', 0.0, answer)
        return GrantLimit(
            process,
            report_time + GRANT_ALLOWANCE_S,
            answer + GRANT_ALLOWANCE_S,
        )

    def _is_silent(self, now: float, agent: str) -> bool:
        if agent in self._former_answers:
            # The next coordinator may follow before the agent has been silent
            # for long under this one.
            return True
        report_time = self._reports.get(agent, self.started)
        return now - max(report_time, self._steady_since) > MIN_SILENCE_S
