"""Client of the service that knows which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.platform import wire

if TYPE_CHECKING:
    from damaskpin.coordinator import advice

# Added to the time that an answer takes, in seconds: the service takes one
# call after the other.
TIMEOUT_MARGIN_S = 2.0

PATH = '/damaskpin/advise'


class AdvisorClient:
    """Typed calls to the advisor.

    :param caller: makes the HTTP calls.
    """

    __slots__ = ('_caller',)

    def __init__(self, caller: transport.Caller) -> None:
        self._caller = caller

    async def ask(self, question: advice.Question) -> dict[str, str]:
        """Return the tickets of the workers that may run a step, by id.

        :raises damaskpin.errors.CallError: no usable answer.
        """
        key = question.key
        body = wire.AdviseBody(
            f'{key.job}.{key.occurrence}.{key.step}',
            [lifetime.worker for lifetime in question.workers],
        )
        takes = question.advice.decide
        takes += question.advice.each * len(question.workers)
        request = transport.HttpRequest(
            'POST', PATH, msgspec.json.encode(body), takes + TIMEOUT_MARGIN_S
        )
        answer = await self._caller.call(request)
        if answer.status != 200:
            raise errors.CallError(f'status {answer.status}', True)
        try:
            rows = wire.decode(answer.body, wire.AdviseAnswer).good
        except errors.MalformedError as error:
            raise errors.CallError(str(error), True) from error
        return dict(rows)
