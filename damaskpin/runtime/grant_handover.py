"""Last grants of a coordinator, which it tells the next one.

A coordinator whose lease has ended, as in an outage of the store, often lives
on. It knows from when on its grants count, also those of agents that were lost
shortly before. Without an answer its successor counts from the end of the
lease.
"""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import grants
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.coordinator import coordinator as coordinators
    from damaskpin.peer import exchange as exchanges
    from damaskpin.runtime import leadership as leaderships

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTerm:
    """Term in which this entry has coordinated.

    :ivar nonce: nonce in the value of its leader key.
    :ivar last_grants: times from which its last grants count.
    """

    nonce: str
    last_grants: grants.LastGrants


class GrantHandover:
    """Asks the former coordinator for its last grants, and answers the next.

    :param address: pynng URL of this entry.
    :param leadership: knows the terms of this entry and the one before.
    :param exchange: sends the question to the former coordinator.
    """

    __slots__ = ('_address', '_ended', '_exchange', '_leadership', '_nonce')

    def __init__(
        self,
        address: str,
        leadership: leaderships.Leadership,
        exchange: exchanges.Exchange,
    ) -> None:
        self._address = address
        self._leadership = leadership
        self._exchange = exchange
        self._nonce = ''
        self._ended: EndedTerm | None = None

    def begin(self, now: float, coordinator: coordinators.Coordinator) -> None:
        """Ask for the last grants before those of a new coordinator.

        :param now: time in seconds by the steady clock.
        """
        former = self._leadership.former_term
        self._nonce = self._leadership.nonce
        if former is None:
            return
        question = orders.GrantQuestion(coordinator.fence)
        if former.address != self._address:
            self._exchange.post(former.address, 'grants', lambda: question)
            return
        answer = self.answer(now, question)
        if answer is not None:
            self.apply(now, coordinator, answer)

    def end(self, coordinator: coordinators.Coordinator) -> None:
        """Keep the last grants of a coordinator that gives no more."""
        self._ended = EndedTerm(self._nonce, coordinator.list_last_grants())

    def answer(
        self, now: float, question: orders.GrantQuestion
    ) -> orders.GrantAnswer | None:
        """Return the last grants of the latest term that has ended.

        :param now: time in seconds by the steady clock.
        :returns: ``None`` if this entry has not coordinated.
        """
        if self._ended is None:
            return None
        last_grants = self._ended.last_grants
        return orders.GrantAnswer(
            question.fence,
            self._ended.nonce,
            now - last_grants.latest,
            {agent: now - t for agent, t in last_grants.earlier.items()},
        )

    def apply(
        self,
        now: float,
        coordinator: coordinators.Coordinator,
        answer: orders.GrantAnswer,
    ) -> None:
        """Apply an answer, unless it is about another term.

        :param now: time in seconds at which it has arrived.
        """
        former = self._leadership.former_term
        if former is None or answer.nonce != former.nonce:
            return
        if answer.fence != coordinator.fence:
            return
        LOG.info(
            'former coordinator has told its last grants',
            extra={'age': round(answer.age, 3), 'agents': len(answer.ages)},
        )
        coordinator.silence_records.apply_last_grants(
            grants.LastGrants(
                now - answer.age,
                {agent: now - age for agent, age in answer.ages.items()},
            )
        )
