"""Log records about the runs of an agent's worker."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.model import log_fields

if TYPE_CHECKING:
    from damaskpin.agent import attempts
    from damaskpin.agent import calls
    from damaskpin.model import work

LOG = logging.getLogger(__name__)


def log_start_result(
    now: float,
    attempt: attempts.Attempt,
    call: calls.StartCall,
    result: calls.Result,
) -> None:
    """Log the result of a start call.

    A call without an answer may still be carried out, also by a later process
    of the same worker, so the process that it was meant for is named.
    """
    LOG.info(
        'start call finished',
        extra={
            **log_fields.describe_run(call.order.run),
            'result': type(result).__name__,
            'reason': getattr(result, 'reason', ''),
            'worker': call.lifetime.worker,
            'born': call.lifetime.born,
            'fence': call.fence,
            'seconds': round(now - attempt.called_at, 3),
            'unanswered': attempt.may_have_been_sent,
        },
    )


def log_late_start_result(
    call: calls.StartCall,
    attempt: attempts.Attempt | None,
    result: calls.Result,
) -> None:
    """Log the result of a start call whose run was given up meanwhile."""
    LOG.info(
        'answer to a start that is no longer wanted',
        extra={
            **log_fields.describe_run(call.order.run),
            'result': type(result).__name__,
            'state': attempt and str(attempt.state),
        },
    )


def log_contradiction(run: work.Run, reason: str, born: int) -> None:
    """Log that a worker lists a run that was reported as refused.

    :param reason: why the run was reported as refused.
    :param born: start of the worker process in Unix milliseconds.
    """
    LOG.warning(
        'refused run is listed by the worker',
        extra={**log_fields.describe_run(run), 'reason': reason, 'born': born},
    )
