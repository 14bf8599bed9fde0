"""Placement of waiting requests on agents, including idempotency claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.service import breaker
from damaskpin.service import claims
from damaskpin.service import requests

if TYPE_CHECKING:
    from damaskpin.peer import messages
    from damaskpin.service import ledger as ledgers
    from damaskpin.service import limits as limiting

# Time in which an attempt may start, counted from the uptime in the agent's
# last report.
ATTEMPT_EXPIRY_S = 60.0
STORE_RETRY_AFTER_S = 1.0


class Placement:
    """Assigns waiting requests to agents with free slots.

    :param ledger: requests in progress.
    :param limits: concurrency limits of the client accounts.
    :param incarnation: id of this run of the entry's process; part of the
        attempt ids, which makes them unique.
    """

    __slots__ = ('_incarnation', '_ledger', '_limits', '_sequence')

    def __init__(
        self,
        ledger: ledgers.Ledger,
        limits: limiting.Limits,
        incarnation: str,
    ) -> None:
        self._ledger = ledger
        self._limits = limits
        self._incarnation = incarnation
        self._sequence = 0

    def make_attempt_id(self, agent_incarnation: str) -> str:
        """Return a new unique attempt id.

        :param agent_incarnation: id of the process run of the chosen agent.
        """
        self._sequence += 1
        return f'{agent_incarnation}.{self._incarnation}.{self._sequence}'

    def fill_free_slots(
        self, now: float, service: str
    ) -> list[effects.Effect]:
        """Assign the free slots of a service to waiting requests."""
        result: list[effects.Effect] = []
        for pending in self._ledger.queue.iterate_requests(service):
            if pending.next_attempt_at > now:
                continue
            if not self._limits.is_below_running_limit(
                pending.request.account
            ):
                continue
            if pending.pinned_attempt is not None:
                result += self._send_pinned(now, pending)
                continue
            agent = self._ledger.router.choose_agent(
                now, service, pending.excluded_agents
            )
            if agent is not None:
                result += self._start_attempt(now, pending, agent)
                continue
            if not pending.excluded_agents:
                break
            # No other agent has a free slot: allow the excluded agents again.
            pending.excluded_agents.clear()
        return result

    def handle_claim_outcome(
        self,
        now: float,
        pending: requests.PendingRequest,
        outcome: claims.StoreCall
        | claims.ClaimStored
        | claims.ClaimFailed
        | None,
    ) -> list[effects.Effect]:
        """Handle the outcome of a store call for the claim of a request.

        :param outcome: next store call, final result, or ``None`` to go on
            waiting for the store.
        """
        match outcome:
            case None:
                return []
            case claims.ClaimFailed():
                return self._ledger.conclude_without_answer(
                    now,
                    pending,
                    'nothing was sent: the store that records idempotency '
                    'keys does not answer',
                    STORE_RETRY_AFTER_S,
                )
            case claims.ClaimStored(claim):
                result = self._send_stored_attempt(now, pending, claim)
                self._ledger.schedule_check(now, pending)
                return result
        return [outcome]

    def _send_pinned(
        self, now: float, pending: requests.PendingRequest
    ) -> list[effects.Effect]:
        """Send the attempt that the issued key of a request names."""
        attempt = pending.pinned_attempt
        if self._is_agent_known(
            attempt
        ) and not self._ledger.router.can_send_to(
            now, attempt.instance, pending.request.service
        ):
            return []
        self._ledger.mark_running(pending, requests.Phase.SENT)
        return self._send_to_bound_agent(now, pending, attempt)

    def _start_attempt(
        self,
        now: float,
        pending: requests.PendingRequest,
        agent: messages.AgentState,
    ) -> list[effects.Effect]:
        attempt = requests.Attempt(
            id=self.make_attempt_id(agent.peer.incarnation),
            instance=agent.peer.instance,
            incarnation=agent.peer.incarnation,
            expires_uptime=agent.uptime + ATTEMPT_EXPIRY_S,
        )
        self._ledger.tracker.occupy_slot(now, attempt)
        if pending.claim_writer is None:
            self._ledger.mark_running(pending, requests.Phase.SENT)
            return self._send(now, pending, attempt)
        self._ledger.mark_running(pending, requests.Phase.CLAIMING)
        pending.planned_attempt = attempt
        proposed_claim = claims.Claim(
            attempt=attempt.id,
            agent=attempt.instance,
            incarnation=attempt.incarnation,
            expires_uptime=attempt.expires_uptime,
            digest=pending.digest.hex(),
        )
        call = pending.claim_writer.propose(
            now, pending.stored_claim, proposed_claim
        )
        self._ledger.schedule_check(now, pending)
        return [call]

    def _send_stored_attempt(
        self, now: float, pending: requests.PendingRequest, claim: claims.Claim
    ) -> list[effects.Effect]:
        """Send the attempt of the claim that is stored for the key."""
        planned_attempt, pending.planned_attempt = (
            pending.planned_attempt,
            None,
        )
        pending.stored_claim = claim
        pending.phase = requests.Phase.SENT
        if claim.attempt == planned_attempt.id:
            return self._send_to_bound_agent(now, pending, planned_attempt)
        self._ledger.tracker.release_slot(
            now, planned_attempt, breaker.Outcome.ABANDONED
        )
        if claim.digest != pending.digest.hex():
            return self._ledger.conclude(
                now,
                pending,
                verdicts.NotRun('the key was used with another request'),
            )
        pending.has_earlier_claim = True
        attempt = requests.Attempt(
            claim.attempt, claim.agent, claim.incarnation, claim.expires_uptime
        )
        return self._send_to_bound_agent(now, pending, attempt)

    def _send_to_bound_agent(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
    ) -> list[effects.Effect]:
        """Send an attempt to the agent process that its id names.

        The process may have ended.
        """
        if self._is_agent_known(attempt):
            self._ledger.tracker.occupy_slot(now, attempt)
        else:
            attempt.lost_at = now
        return self._send(now, pending, attempt)

    def _send(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
    ) -> list[effects.Effect]:
        self._ledger.tracker.add(pending, attempt)
        send = self._ledger.tracker.send(now, pending, attempt)
        self._ledger.schedule_check(now, pending)
        detail = f'attempt {attempt.id} to {attempt.instance}'
        return [send, effects.Record(pending.request.id, 'sent', detail)]

    def _is_agent_known(self, attempt: requests.Attempt) -> bool:
        agent = self._ledger.router.get_agent(attempt.instance)
        return (
            agent is not None and agent.peer.incarnation == attempt.incarnation
        )
