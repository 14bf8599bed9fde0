"""Asks the advisor what the coordinator needs to know."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from damaskpin.coordinator import advice
    from damaskpin.runtime import coordination

LOG = logging.getLogger(__name__)

# The coordinator is asked for a question this often, in seconds, and where no
# queue needs advice or another entry coordinates.
POLL_S = 0.1
IDLE_S = 1.0


class Advisor(Protocol):
    """Knows which workers may run a step."""

    async def ask(self, question: advice.Question) -> dict[str, str]:
        """Return tickets by worker id.

        :raises damaskpin.errors.CallError: no usable answer.
        """


class Advising:
    """Carries one question at a time, as the advisor takes them in turn.

    :param coordinating: source of the questions.
    :param advisor: access to the advisor.
    """

    __slots__ = ('_advisor', '_coordinating')

    def __init__(
        self, coordinating: coordination.Coordination, advisor: Advisor
    ) -> None:
        self._coordinating = coordinating
        self._advisor = advisor

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            question = self._coordinating.take_question()
            if question is None:
                needed = self._coordinating.needs_advice()
                await asyncio.sleep(POLL_S if needed else IDLE_S)
                continue
            sent = clocks.get_steady()
            try:
                rows = await self._advisor.ask(question)
            except errors.CallError as error:
                LOG.info(
                    'no advice',
                    extra={'job': question.key.job, 'error': str(error)},
                )
                self._coordinating.note_advice(question, sent, None)
                continue
            LOG.info(
                'advice',
                extra={
                    'job': question.key.job,
                    'step': question.key.step,
                    'asked': len(question.workers),
                    'good': len(rows),
                    'seconds': round(clocks.get_steady() - sent, 3),
                },
            )
            self._coordinating.note_advice(question, sent, rows)
