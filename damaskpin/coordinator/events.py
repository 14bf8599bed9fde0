"""Log records about events of runs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work

LOG = logging.getLogger(__name__)


def log_run(
    message: str,
    run: work.Run,
    worker: worker_state.Worker,
    reason: str,
    **more: object,
) -> None:
    """Log an event of a run.

    :param message: log message, which names the event.
    :param reason: why the event happened.
    :param more: additional log fields.
    """
    LOG.info(
        message,
        extra={
            'job': run.item.job,
            'occurrence': run.item.occurrence,
            'step': run.item.step,
            'index': run.item.index,
            'number': run.number,
            'worker': worker.lifetime.worker,
            'reason': reason,
            **more,
        },
    )
