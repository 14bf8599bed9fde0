"""HTTP client of the worker beside an agent."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.platform import wire

if TYPE_CHECKING:
    from damaskpin.transport import Caller

LOG = logging.getLogger(__name__)

# Timeout of calls in seconds. The worker is on the same instance and answers
# within milliseconds.
TIMEOUT_S = 0.5

PATH_PREFIX = '/damaskpin'


class WorkerClient:
    """Makes calls to the worker and decodes the answers.

    :param caller: makes the HTTP calls.
    """

    __slots__ = ('_caller',)

    def __init__(self, caller: Caller) -> None:
        self._caller = caller

    async def renew_lease(self, call: calls.PollCall) -> calls.Result:
        """Renew the worker's lease and list its running and ended runs."""
        body = wire.RenewLeaseBody(
            call.fence, call.observed, int(call.wait * 1000), call.until
        )
        return await self._call('hold', call.lifetime, body, call.wait)

    async def start(self, call: calls.StartCall) -> calls.Result:
        """Start a run on the worker."""
        order = call.order
        body = wire.StartBody(
            format_item(order.run.item),
            order.run.number,
            order.content,
            call.until,
            call.fence,
            order.checkpoint,
            order.ticket,
        )
        return await self._call('run-start', call.lifetime, body)

    async def stop(self, call: calls.StopCall) -> calls.Result:
        """Stop a run on the worker."""
        run = call.run
        body = wire.StopBody(format_item(run.item), run.number, call.fence)
        return await self._call('run-stop', call.lifetime, body)

    async def _call(
        self,
        operation: str,
        lifetime: work.Lifetime,
        body: msgspec.Struct,
        wait: float = 0.0,
    ) -> calls.Result:
        request = transport.HttpRequest(
            'POST',
            f'{PATH_PREFIX}/{operation}',
            msgspec.json.encode(body),
            TIMEOUT_S + wait,
            {'X-Target-Instance': lifetime.worker},
        )
        try:
            answer = await self._caller.call(request)
        except errors.CallError as error:
            return calls.Unanswered(str(error), error.sent)
        if answer.status == 421:
            return calls.Refused('another lifetime')
        try:
            decoded = wire.decode(answer.body or b'{}', wire.WorkerAnswer)
        except errors.MalformedError as error:
            return calls.Unanswered(str(error))
        if answer.status == 200 and operation == 'hold':
            return decode_lists(decoded)
        if answer.status == 200:
            return calls.Accepted(decoded.clock_ms)
        reason = decoded.reason or f'status {answer.status}'
        return calls.Refused(reason, outranked=reason == 'fence')


def format_item(item: work.Item) -> str:
    """Return a work item's name on the platform, ID.K.STEP.INDEX."""
    return f'{item.job}.{item.occurrence}.{item.step}.{item.index}'


def parse_item(name: str) -> work.Item:
    """Parse a work item's name on the platform, ID.K.STEP.INDEX.

    :raises ValueError: not the name of a work item.
    """
    job, occurrence, step, index = name.split('.')
    return work.Item(job, int(occurrence), int(step), int(index))


def decode_lists(answer: wire.WorkerAnswer) -> calls.Lists:
    """Decode a worker's lists of runs; malformed rows are left out."""
    running = []
    for row in answer.running:
        try:
            run = work.Run(parse_item(str(row[0])), int(row[1]))
            running.append(
                work.RunningRun(run, str(row[2] or ''), float(row[3]))
            )
        except (ValueError, IndexError, TypeError) as error:
            LOG.warning(
                'malformed row in a list of runs ignored',
                extra={'error': str(error)},
            )
    ended = []
    for row in answer.finished:
        try:
            run = work.Run(parse_item(str(row[1])), int(row[2]))
            ended.append(
                work.EndedRun(
                    int(row[0]), run, work.Ending(row[3]), str(row[4] or '')
                )
            )
        except (ValueError, IndexError, TypeError) as error:
            LOG.warning(
                'malformed row in a list of runs ignored',
                extra={'error': str(error)},
            )
    return calls.Lists(
        answer.clock_ms, answer.born, tuple(running), tuple(ended)
    )
