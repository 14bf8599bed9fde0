"""Asks the advisor which workers may run the coordinator's steps."""

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

# Pause between checks for a new question, in seconds. The longer pause applies
# while no queue needs advice or another entry coordinates.
POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 1.0


class Advisor(Protocol):
    """Interface to the service that decides which workers may run a step."""

    async def ask(self, question: advice.AdvisorQuestion) -> dict[str, str]:
        """Return a ticket for each worker that may run the step, by id.

        A ticket is the advisor's permission to run the step on that worker.

        :raises damaskpin.errors.CallError: no usable answer.
        """


class AdviceLoop:
    """Passes questions to the advisor, which handles one at a time.

    :param question_source: returns pending questions and receives the
        advisor's answers.
    :param advisor: client of the advisor.
    """

    __slots__ = ('_advisor', '_question_source')

    def __init__(
        self, question_source: coordination.Coordination, advisor: Advisor
    ) -> None:
        self._question_source = question_source
        self._advisor = advisor

    async def run(self) -> None:
        """Ask the advisor the pending questions until cancelled."""
        while True:
            question = self._question_source.take_advisor_question()
            if question is None:
                advice_needed = self._question_source.needs_advice()
                await asyncio.sleep(
                    POLL_INTERVAL_S if advice_needed else IDLE_POLL_INTERVAL_S
                )
                continue
            send_time = clocks.get_monotonic_time()
            try:
                tickets = await self._advisor.ask(question)
            except errors.CallError as error:
                LOG.info(
                    'no answer from the advisor',
                    extra={'job': question.key.job, 'error': str(error)},
                )
                self._question_source.apply_advisor_answer(
                    question, send_time, None
                )
                continue
            LOG.info(
                'advisor answered',
                extra={
                    'job': question.key.job,
                    'step': question.key.step,
                    'asked': len(question.workers),
                    'good': len(tickets),
                    'seconds': round(
                        clocks.get_monotonic_time() - send_time, 3
                    ),
                },
            )
            self._question_source.apply_advisor_answer(
                question, send_time, tickets
            )
