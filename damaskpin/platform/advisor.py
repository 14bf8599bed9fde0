"""Client of the advisor, which decides which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.platform import wire

if TYPE_CHECKING:
    from damaskpin.coordinator import advice

# Seconds added to the expected duration of a call: the advisor handles calls
# one after the other, so that a call may have to wait.
TIMEOUT_MARGIN_S = 2.0

ADVISE_PATH = '/damaskpin/advise'


class AdvisorClient:
    """Makes calls to the advisor.

    :param caller: makes the HTTP calls.
    """

    __slots__ = ('_caller',)

    def __init__(self, caller: transport.Caller) -> None:
        self._caller = caller

    async def ask(self, question: advice.AdvisorQuestion) -> dict[str, str]:
        """Ask which workers may run a step.

        :returns: ticket of each permitted worker by worker id; a ticket is
            the advisor's permission to run the step on that worker.
        :raises damaskpin.errors.CallError: no answer or a malformed one.
        """
        key = question.key
        body = wire.AdviseBody(
            f'{key.job}.{key.occurrence}.{key.step}',
            [lifetime.worker for lifetime in question.workers],
        )
        expected_time = question.advice.decide
        expected_time += question.advice.each * len(question.workers)
        request = transport.HttpRequest(
            'POST',
            ADVISE_PATH,
            msgspec.json.encode(body),
            expected_time + TIMEOUT_MARGIN_S,
        )
        answer = await self._caller.call(request)
        if answer.status != 200:
            raise errors.CallError(f'status {answer.status}', True)
        try:
            ticket_rows = wire.decode(answer.body, wire.AdviseAnswer).good
        except errors.MalformedError as error:
            raise errors.CallError(str(error), True) from error
        return dict(ticket_rows)
