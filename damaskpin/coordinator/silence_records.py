"""Records of silent agents against the books of a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import grants
from damaskpin.coordinator import silent_agents

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state


class SilenceRecords:
    """Makes the records, and applies to the books what follows from them.

    :param ledger: workers and runs, with the times of the agents' reports.
    :param fence: fencing token of the coordinator.
    :ivar fence: fencing token of the coordinator.
    """

    __slots__ = ('_ledger', 'fence')

    def __init__(self, ledger: ledgers.RunLedger, fence: int) -> None:
        self._ledger = ledger
        self.fence = fence

    def record_report(self, now: float, agent: str) -> None:
        """Record that a report of an agent has arrived."""
        silent = self._ledger.silent_agents
        if not silent.record_report(now, agent):
            return
        last_grant, evidence = silent.find_former_grant(agent)
        # The agent may get a grant again, so its runs are kept for as long as
        # without the record of the former coordinator.
        for worker in self._ledger.workers.values():
            if worker.agent == agent:
                self._ledger.run_ends.put_off(worker, last_grant, evidence)

    def list_last_grants(self, lease_renewed: float) -> grants.LastGrants:
        """Return from when on the last grants of this coordinator count.

        :param lease_renewed: time in seconds of the latest renewal of the
            coordinator's lease that a grant has counted from.
        """
        silent = self._ledger.silent_agents
        answers = {
            worker.agent: silent.get_last_answer(worker.agent)
            for worker in self._ledger.workers.values()
            if worker.runs
        }
        for worker in self._ledger.workers.values():
            # Its lease may outlast the grant.
            if worker.get_last_lease_end() > worker.latest_run_end:
                answers.pop(worker.agent, None)
        earlier = sorted(
            (answer, agent)
            for agent, answer in answers.items()
            if answer < lease_renewed
        )
        return grants.LastGrants(
            lease_renewed,
            {a: answer for answer, a in earlier[: silent_agents.MAX_AGENTS]},
        )

    def apply_last_grants(self, last_grants: grants.LastGrants) -> None:
        """Apply what the former coordinator tells of its last grants.

        The runs of agents that have reported are kept as they are.
        """
        silent = self._ledger.silent_agents
        silent.apply_last_grants(last_grants)
        for worker in self._ledger.workers.values():
            if silent.has_reported(worker.agent):
                continue
            answered, evidence = silent.find_former_grant(worker.agent)
            self._ledger.run_ends.bring_forward(worker, answered, evidence)

    def renew_limited_grant(
        self, worker: worker_state.Worker, start: grants.GrantStart
    ) -> float | None:
        """Renew the grant of a recorded agent, up to what the record says.

        :param start: time from which the grant would count without a record.
        :returns: time of the report to be echoed, by the agent's clock;
            ``None`` if the agent may get no grant.
        """
        limit = self._ledger.silent_agents.get_grant_limit(worker)
        if limit is None or worker.silence:
            return None
        limited = grants.GrantStart(
            min(start.answered, limit.answer), min(start.echo, limit.echo)
        )
        self._ledger.renew_grant(worker, limited)
        return limited.echo

    def make_due_record(
        self, now: float
    ) -> silent_agents.SilenceRecord | None:
        """Return the record that is to be written now, if any."""
        return self._ledger.silent_agents.make_due_record(
            now, self.fence, self._ledger.workers.values()
        )

    def record_stored(self) -> None:
        """Record that the latest record is stored."""
        released = self._ledger.silent_agents.record_stored()
        for worker in self._ledger.workers.values():
            if worker.agent in released:
                worker.orders_due = True
