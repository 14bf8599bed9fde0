"""Record of the start and stop calls for one run."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from damaskpin.agent import calls

if TYPE_CHECKING:
    from damaskpin.model import work
    from damaskpin.peer import orders


class State(enum.Enum):
    """State of the start and stop calls for one run.

    A refused run does not run and never will: the worker or the agent refused
    its start, it was stopped, or its worker's lease has expired.
    """

    PENDING = 'pending'
    CALLING = 'calling'
    ACCEPTED = 'accepted'
    STOPPING = 'stopping'
    STOP_ACKNOWLEDGED = 'stop-acknowledged'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """Progress of the start and stop calls for one run.

    :ivar order: order to start the run; ``None`` if only a stop was ordered.
    :ivar reason: why the run will not execute; empty if it may.
    :ivar undecided_until: time in seconds until which a start call without an
        answer may be carried out by the next process of the same id; 0 if no
        such call may have reached the worker.
    :ivar was_accepted: whether the worker has accepted a start call.
    :ivar called_at: time in seconds of the latest start call; 0 for none.
    :ivar next_call_at: earliest time of the next call in seconds.
    :ivar stop_acknowledged_at: time in seconds at which the worker
        acknowledged the stop call.
    :ivar last_ordered_at: time in seconds of the coordinator's latest order to
        start or stop the run, or of the expiry of the worker's lease.
    """

    run: work.Run
    order: orders.StartOrder | None
    state: State
    reason: str = ''
    undecided_until: float = 0.0
    was_accepted: bool = False
    called_at: float = 0.0
    next_call_at: float = 0.0
    stop_acknowledged_at: float = 0.0
    last_ordered_at: float = 0.0

    @property
    def may_have_been_sent(self) -> bool:
        """Return whether an unanswered start call may have been received."""
        return self.undecided_until > 0

    @property
    def may_have_started(self) -> bool:
        """Return whether the run may have started by a call of this agent."""
        if not self.called_at or self.state is State.REFUSED:
            return False
        return self.state is not State.PENDING or self.may_have_been_sent

    @property
    def is_pending(self) -> bool:
        """Return whether a start call is to be sent."""
        return self.state is State.PENDING

    def get_undecided_time(self, now: float) -> float:
        """Return the seconds for which a start call may be carried out.

        The time of a call that is under way begins with its result.
        """
        if self.state is State.CALLING:
            return calls.MAX_CALL_DELAY_S
        return self.undecided_until - now

    def stop(self, now: float, reason: str) -> None:
        """Stop a run that may run or may still be started.

        A start call in transit may still arrive; after the stop call the
        worker refuses it.
        """
        self.reason = reason
        self.state = State.STOPPING
        self.next_call_at = now

    @property
    def is_calling(self) -> bool:
        """Return whether a start call is under way."""
        return self.state is State.CALLING

    @property
    def is_unsettled_start(self) -> bool:
        """Return whether a start call is to be sent or is under way."""
        return self.state in (State.PENDING, State.CALLING)

    @property
    def is_settled(self) -> bool:
        """Return whether the run was accepted, or will never run."""
        return self.state in (State.REFUSED, State.ACCEPTED)

    def needs_lists(self, has_lists: bool) -> bool:
        """Return whether the worker's lists must be read before a call.

        They show whether a former process of the agent has started the run,
        which a refused call would stop.

        :param has_lists: whether this process has read the worker's complete
            lists.
        """
        return self.order is not None and self.order.repeated and not has_lists
