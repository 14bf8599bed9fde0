"""HTTP client of the worker beside an agent."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from damaskpin import errors
from damaskpin import http_connection
from damaskpin import transport
from damaskpin.agent import calls
from damaskpin.agent import connection_pool
from damaskpin.model import work
from damaskpin.platform import wire

if TYPE_CHECKING:
    from collections.abc import Callable


LOG = logging.getLogger(__name__)

RowT = TypeVar('RowT')

# Occurrence, step or index in the name of a work item; 18 digits fit into 64
# bits.
ITEM_NUMBER = re.compile('[0-9]{1,18}')

ENDINGS = [str(ending) for ending in work.Ending]

# Number of characters of a malformed row that are logged.
MAX_LOGGED_ROW = 200

# Timeout of calls in seconds. The worker is on the same instance and answers
# within milliseconds.
TIMEOUT_S = 0.5
# Timeout of polls in seconds that have no effect and may be repeated at once.
READ_TIMEOUT_S = 0.25

PATH_PREFIX = '/damaskpin'
# HTTP statuses of calls that the worker has not carried out. Status 421, of
# another lifetime, is one more.
REFUSAL_STATUSES = (400, 409, 429, 503)


class WorkerClient:
    """Makes calls to the worker over one connection, and decodes the answers.

    :param caller: makes the HTTP calls.
    """

    __slots__ = ('_caller',)

    def __init__(self, caller: http_connection.HttpConnection) -> None:
        self._caller = caller

    def close(self) -> None:
        """Close the connection."""
        self._caller.close()

    async def renew_lease(self, call: calls.PollCall) -> calls.Result:
        """Renew the worker's lease and list its running and ended runs."""
        body = wire.RenewLeaseBody(
            call.token, call.observed, int(call.wait * 1000), call.until
        )
        timeout = TIMEOUT_S
        if connection_pool.is_without_effect(call):
            timeout = READ_TIMEOUT_S
        return await self._call(
            'hold', call.lifetime, body, timeout + call.wait
        )

    async def start(self, call: calls.StartCall) -> calls.Result:
        """Start a run on the worker."""
        order = call.order
        body = wire.StartBody(
            format_item(order.run.item),
            order.run.number,
            order.content,
            call.until,
            call.token,
            order.checkpoint,
            order.ticket,
        )
        return await self._call('run-start', call.lifetime, body)

    async def stop(self, call: calls.StopCall) -> calls.Result:
        """Stop a run on the worker."""
        run = call.run
        body = wire.StopBody(format_item(run.item), run.number, call.token)
        return await self._call('run-stop', call.lifetime, body)

    async def _call(
        self,
        operation: str,
        lifetime: work.Lifetime,
        body: msgspec.Struct,
        timeout: float = TIMEOUT_S,
    ) -> calls.Result:
        request = transport.HttpRequest(
            'POST',
            f'{PATH_PREFIX}/{operation}',
            msgspec.json.encode(body),
            timeout,
            {'X-Target-Instance': lifetime.worker},
        )
        try:
            answer = await self._caller.call(request)
        except errors.CallError as error:
            return calls.Unanswered(str(error), error.sent, error.refused)
        if answer.status == 421:
            return calls.Refused(calls.OTHER_LIFETIME)
        try:
            decoded = wire.decode(answer.body or b'{}', wire.WorkerAnswer)
        except errors.MalformedError as error:
            return calls.Unanswered(str(error), replied=True)
        if answer.status == 200 and operation == 'hold':
            return decode_lists(decoded)
        if answer.status == 200:
            return calls.Accepted(decoded.clock_ms)
        reason = decoded.reason or f'status {answer.status}'
        if answer.status not in REFUSAL_STATUSES:
            return calls.Unanswered(reason, replied=True)
        return calls.Refused(reason, outranked=reason == 'fence')


def connect(address: str) -> WorkerClient:
    """Return a client for one connection to the worker.

    :param address: IP address and port of the worker.
    """
    return WorkerClient(http_connection.HttpConnection(address))


def format_item(item: work.Item) -> str:
    """Return a work item's name on the platform, ID.K.STEP.INDEX."""
    return f'{item.job}.{item.occurrence}.{item.step}.{item.index}'


def parse_item(name: object) -> work.Item:
    """Parse a work item's name on the platform, ID.K.STEP.INDEX.

    :raises damaskpin.errors.MalformedError: not the name of a work item.
    """
    fields = name.split('.') if isinstance(name, str) else []
    if len(fields) != 4 or not all(map(ITEM_NUMBER.fullmatch, fields[1:])):
        raise errors.MalformedError('not the name of a work item')
    return work.Item(fields[0], *map(int, fields[1:]))


def parse_count(value: object) -> int:
    """Return a whole number that fits into messages between processes.

    :raises damaskpin.errors.MalformedError: not such a number.
    """
    if type(value) is int and 0 <= value <= wire.MAX_NUMBER:
        return value
    raise errors.MalformedError('not a whole number of 64 bits')


def parse_percent(value: object) -> float:
    """Return the progress of a run, or the measured value in its place.

    :raises damaskpin.errors.MalformedError: not a number in range.
    """
    if type(value) is float and 0 <= value <= wire.MAX_NUMBER:
        return value
    return float(parse_count(value))


def parse_running(row: object) -> work.RunningRun:
    """Parse a row of the list of running runs.

    :raises damaskpin.errors.MalformedError: not such a row.
    """
    if not isinstance(row, list) or len(row) < 4:
        raise errors.MalformedError('not a row of four or more fields')
    run = work.Run(parse_item(row[0]), parse_count(row[1]))
    return work.RunningRun(run, str(row[2] or ''), parse_percent(row[3]))


def parse_ended(row: object) -> work.EndedRun:
    """Parse a row of the list of ended runs.

    :raises damaskpin.errors.MalformedError: not such a row.
    """
    if not isinstance(row, list) or len(row) < 5:
        raise errors.MalformedError('not a row of five fields')
    run = work.Run(parse_item(row[1]), parse_count(row[2]))
    if row[3] not in ENDINGS:
        raise errors.MalformedError('not an end of a run')
    return work.EndedRun(
        parse_count(row[0]), run, work.Ending(row[3]), str(row[4] or '')
    )


def parse_rows(
    rows: list[object], parse: Callable[[object], RowT]
) -> tuple[RowT, ...]:
    """Parse a list of runs; malformed rows are left out."""
    parsed = []
    for row in rows:
        try:
            parsed.append(parse(row))
        except errors.MalformedError as error:
            LOG.warning(
                'malformed row in a list of runs ignored',
                extra={'error': str(error), 'row': repr(row)[:MAX_LOGGED_ROW]},
            )
    return tuple(parsed)


def decode_lists(answer: wire.WorkerAnswer) -> calls.Lists:
    """Decode a worker's lists of runs; malformed rows are left out.

    As many ends as a worker returns at a time may be a part of the list.
    """
    return calls.Lists(
        answer.clock_ms,
        answer.born,
        parse_rows(answer.running, parse_running),
        parse_rows(answer.finished, parse_ended),
        len(answer.finished) < work.MAX_LISTED_ENDS,
    )
