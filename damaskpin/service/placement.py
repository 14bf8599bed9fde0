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

# An attempt may start until this long after the uptime in the agent's last
# report.
EXPIRES_S = 60.0
STORE_RETRY_AFTER_S = 1.0


class Placement:
    """Assigns waiting requests to agents with free slots.

    :param ledger: requests in progress.
    :param limits: concurrency limits of the client accounts.
    :param incarnation: incarnation of the entry; part of the attempt ids,
        which makes them unique.
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
        """Return a new unique attempt id."""
        self._sequence += 1
        return f'{agent_incarnation}.{self._incarnation}.{self._sequence}'

    def pump(self, now: float, service: str) -> list[effects.Effect]:
        """Assign the free slots of a service to waiting requests."""
        result: list[effects.Effect] = []
        for work in self._ledger.queue.iterate(service):
            if work.not_before > now:
                continue
            if not self._limits.may_run(work.request.account):
                continue
            if work.pinned is not None:
                result += self._send_pinned(now, work)
                continue
            agent = self._ledger.router.choose(now, service, work.excluded)
            if agent is not None:
                result += self._place(now, work, agent)
                continue
            if not work.excluded:
                break
            # No other agent has a free slot: allow the excluded agents again.
            work.excluded.clear()
        return result

    def take_settlement(
        self,
        now: float,
        work: requests.Work,
        outcome: claims.StoreCall | claims.Settled | claims.Failed | None,
    ) -> list[effects.Effect]:
        """Handle the outcome of a store call for the claim of a request.

        :param outcome: next store call, final result, or ``None`` to go on
            waiting for the store.
        """
        match outcome:
            case None:
                return []
            case claims.Failed():
                return self._ledger.conclude_unanswered(
                    now,
                    work,
                    'nothing was sent: the store that records idempotency '
                    'keys does not answer',
                    STORE_RETRY_AFTER_S,
                )
            case claims.Settled(claim):
                result = self._follow(now, work, claim)
                self._ledger.schedule(now, work)
                return result
        return [outcome]

    def _send_pinned(
        self, now: float, work: requests.Work
    ) -> list[effects.Effect]:
        """Send the attempt that is named in an issued key."""
        attempt = work.pinned
        if self._is_known(attempt) and not self._ledger.router.has_room(
            now, attempt.instance, work.request.service
        ):
            return []
        self._ledger.begin(work, requests.Phase.SENT)
        return self._send_named(now, work, attempt)

    def _place(
        self, now: float, work: requests.Work, agent: messages.AgentState
    ) -> list[effects.Effect]:
        attempt = requests.Attempt(
            id=self.make_attempt_id(agent.peer.incarnation),
            instance=agent.peer.instance,
            incarnation=agent.peer.incarnation,
            expires_uptime=agent.uptime + EXPIRES_S,
        )
        self._ledger.tracker.count(now, attempt)
        if work.settler is None:
            self._ledger.begin(work, requests.Phase.SENT)
            return self._send(now, work, attempt)
        self._ledger.begin(work, requests.Phase.CLAIMING)
        work.planned = attempt
        wanted = claims.Claim(
            attempt=attempt.id,
            agent=attempt.instance,
            incarnation=attempt.incarnation,
            expires_uptime=attempt.expires_uptime,
            digest=work.digest.hex(),
        )
        call = work.settler.propose(now, work.claim, wanted)
        self._ledger.schedule(now, work)
        return [call]

    def _follow(
        self, now: float, work: requests.Work, claim: claims.Claim
    ) -> list[effects.Effect]:
        """Send the attempt of the claim that is stored for the key."""
        planned, work.planned = work.planned, None
        work.claim = claim
        work.phase = requests.Phase.SENT
        if claim.attempt == planned.id:
            return self._send_named(now, work, planned)
        self._ledger.tracker.uncount(now, planned, breaker.Outcome.ABANDONED)
        if claim.digest != work.digest.hex():
            return self._ledger.conclude(
                now,
                work,
                verdicts.NotRun('the key was used with another request'),
            )
        work.joined = True
        attempt = requests.Attempt(
            claim.attempt, claim.agent, claim.incarnation, claim.expires_uptime
        )
        return self._send_named(now, work, attempt)

    def _send_named(
        self, now: float, work: requests.Work, attempt: requests.Attempt
    ) -> list[effects.Effect]:
        """Send an attempt that is bound to an agent, which may be gone."""
        if self._is_known(attempt):
            self._ledger.tracker.count(now, attempt)
        else:
            attempt.lost_at = now
        return self._send(now, work, attempt)

    def _send(
        self, now: float, work: requests.Work, attempt: requests.Attempt
    ) -> list[effects.Effect]:
        self._ledger.tracker.add(work, attempt)
        send = self._ledger.tracker.send(now, work, attempt)
        self._ledger.schedule(now, work)
        detail = f'attempt {attempt.id} to {attempt.instance}'
        return [send, effects.Record(work.request.id, 'sent', detail)]

    def _is_known(self, attempt: requests.Attempt) -> bool:
        agent = self._ledger.router.get_agent(attempt.instance)
        return (
            agent is not None and agent.peer.incarnation == attempt.incarnation
        )
