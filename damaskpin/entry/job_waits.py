"""Jobs of which no worker lists a run, and the log lines about them."""

from __future__ import annotations

import dataclasses
import logging
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import due_steps

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Wait:
    """A job of which no worker lists a run.

    :ivar idle_since: time in seconds of the latest list with a run of it, or
        else since which it has had no run by the store, or of the first check.
    :ivar room_since: time in seconds since which there is room for a work item
        whose turn has come; infinite while there is none.
    :ivar searched_at: time in seconds of the latest search for room.
    :ivar due: step of this work item.
    :ivar reason: reason that was logged last; empty before.
    :ivar reason_seconds: seconds with room by the reason that was found.
    :ivar logged_at: time of the latest line in seconds.
    """

    idle_since: float
    room_since: float = math.inf
    searched_at: float = -math.inf
    due: due_steps.DueStep | None = None
    reason: str = ''
    logged_at: float = -math.inf
    reason_seconds: dict[str, float] = dataclasses.field(default_factory=dict)

    def add_reason(self, reason: str, seconds: float) -> None:
        """Count some seconds under a reason."""
        former = self.reason_seconds.get(reason, 0.0)
        self.reason_seconds[reason] = former + seconds

    def end_room(self) -> None:
        """Record that there is no room for the job any more."""
        self.room_since = math.inf
        self.reason = ''
        self.reason_seconds.clear()


def log_wait(
    now: float,
    wall: float,
    job_id: str,
    wait: Wait,
    due: due_steps.DueStep,
    fields: dict[str, object],
) -> None:
    """Log a job that waits, with its reason.

    :param fields: further fields of the line.
    """
    submission = due.submission
    LOG.warning(
        'job waits although there is room',
        extra={
            'job': job_id,
            'occurrence': due.occurrence,
            'step': due.step_index,
            'reason': wait.reason,
            'reasons': dict(wait.reason_seconds),
            'with_room': round(now - wait.room_since, 3),
            'idle': round(now - wait.idle_since, 3),
            'age': round(wall - submission.accepted, 3),
            'priority': submission.terms.priority,
            'label': due.step.label,
            **fields,
        },
    )
