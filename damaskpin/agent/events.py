"""Log records about an agent's worker and its runs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.model import log_fields

if TYPE_CHECKING:
    from damaskpin.agent import attempt_state
    from damaskpin.agent import calls
    from damaskpin.model import work
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


def log_start_result(
    now: float,
    attempt: attempt_state.Attempt,
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
    attempt: attempt_state.Attempt | None,
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


def log_worker(lifetime: work.Lifetime) -> None:
    """Log that a process of the worker has registered."""
    LOG.info(
        'worker found',
        extra={'worker': lifetime.worker, 'born': lifetime.born},
    )


def log_worker_state(profile: orders.WorkerProfile) -> None:
    """Log that the worker has begun to drain, or says that it does not."""
    LOG.info(
        'worker state changed',
        extra={
            'worker': profile.lifetime.worker,
            'draining': profile.draining,
            'remaining': profile.remaining,
        },
    )


def log_delayed_heartbeat(
    lifetime: work.Lifetime, current: work.Lifetime
) -> None:
    """Log a heartbeat of a former process.

    :param lifetime: process that has sent it.
    :param current: process that is known now.
    """
    LOG.info(
        'delayed heartbeat of a previous worker ignored',
        extra={
            'worker': lifetime.worker,
            'born': lifetime.born,
            'current': current.worker,
            'current_born': current.born,
        },
    )


def log_worker_restart(former: work.Lifetime, born: int, running: int) -> None:
    """Log that another process with the same id answers.

    :param former: process that the call was meant for.
    :param born: start of the other one in Unix milliseconds.
    :param running: number of runs that it lists.
    """
    LOG.info(
        'worker restarted',
        extra={
            'worker': former.worker,
            'born': born,
            'former_born': former.born,
            'running': running,
        },
    )


def log_expired_lease(
    profile: orders.WorkerProfile | None, silence: float, run_count: int
) -> None:
    """Log that the lease of a silent worker has expired.

    :param silence: seconds since the worker's last answer.
    :param run_count: number of runs that have ended with the lease.
    """
    LOG.warning(
        'lease of a silent worker expired',
        extra={
            'worker': profile and profile.lifetime.worker,
            'silent': round(silence, 3),
            'runs': run_count,
        },
    )


def log_outlasting_runs(lifetime: work.Lifetime, run_count: int) -> None:
    """Log that runs are stopped as their lease has outlasted the grant.

    :param run_count: number of runs that the worker has listed.
    """
    LOG.warning(
        'runs outlast the grant and are stopped',
        extra={'worker': lifetime.worker, 'runs': run_count},
    )


def log_new_process_id(reason: str, process: str, former: str) -> None:
    """Log that the agent reports under a new process id.

    :param reason: why the former id can't be used any more.
    """
    LOG.warning(
        'agent goes on under a new process id',
        extra={
            'reason': reason,
            'agent_process': process,
            'former_process': former,
        },
    )
