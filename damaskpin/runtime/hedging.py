"""Calls over several ways, of which the first answer counts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from damaskpin import errors
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

T = TypeVar('T')


async def call_first(
    groups: Iterable[Sequence[Callable[[], Awaitable[T]]]],
    patience: float,
    limit: float,
    has_progress: Callable[[], bool] = lambda: False,
) -> T:
    """Make a call over several ways and return the first answer.

    The next ways are tried as soon as one has failed, and beside the others
    after a time without an answer. Ways that are still in use at the end are
    cancelled.

    :param groups: functions that make the call, in groups that are tried at
        the same time; each group is taken when it is due.
    :param patience: seconds without an answer until the next group is tried.
    :param limit: seconds after which the call is given up if no answer is
        under way then.
    :param has_progress: tells whether more of an answer has arrived since it
        was last called. Meanwhile no further way is tried, as it would have
        to carry the same answer over the same links.
    :raises damaskpin.errors.CallError: no way has given an answer; see
        :func:`join_failures`.
    """
    deadline = clocks.get_monotonic_time() + limit
    unused_groups = iter(groups)
    failures: list[errors.CallError] = []
    tasks: set[asyncio.Task[T]] = set()
    try:
        while True:
            group: Sequence[Callable[[], Awaitable[T]]] | None = ()
            if tasks and has_progress():
                progress_end = clocks.get_monotonic_time() + patience
                deadline = max(deadline, progress_end)
            else:
                group = next(unused_groups, None)
            for way in group or ():
                tasks.add(asyncio.ensure_future(way()))
            time_left = deadline - clocks.get_monotonic_time()
            if tasks and time_left <= 0:
                failures.append(errors.CallError('no answer in time', True))
            if not tasks or time_left <= 0:
                raise join_failures(failures)
            done, tasks = await asyncio.wait(
                tasks,
                timeout=time_left
                if group is None
                else min(patience, time_left),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answered = None
            for task in done:
                error = task.exception()
                if error is None:
                    answered = task
                    continue
                if not isinstance(error, errors.CallError):
                    raise error
                failures.append(error)
            if answered is not None:
                return answered.result()
    finally:
        for task in tasks:
            task.cancel()


def join_failures(failures: list[errors.CallError]) -> errors.CallError:
    """Return the error of a call that has failed over each way.

    It is the first error, marked as sent if the server may have received the
    call over any way, and as begun if an answer has begun over any.

    :param failures: errors of the ways in the order of time, at least one.
    """
    first = failures[0]
    sent = any(failure.sent for failure in failures)
    begun = any(failure.begun for failure in failures)
    if sent == first.sent and begun == first.begun:
        return first
    return errors.CallError(str(first), sent, begun=begun)
