"""Session of an agent with its coordinator: ids and numbers of messages."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from damaskpin.agent import events

if TYPE_CHECKING:
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


class Session:
    """Order of the reports that an agent sends and the orders that it gets.

    A fencing token is a number that is higher for each new coordinator; orders
    with a lower token than the highest known are refused.

    :param instance: instance id of the agent.
    :ivar instance: instance id of the agent.
    :ivar process: random id under which this process reports.
    :ivar fence: fencing token of the coordinator; 0 before its first orders.
    :ivar last_report_time: time in seconds of the last report to the
        coordinator.
    :ivar report_requested: whether a report is due at once.
    """

    __slots__ = (
        '_order_sequence',
        '_report_sequence',
        'fence',
        'instance',
        'last_report_time',
        'process',
        'report_requested',
    )

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.process = make_process_id()
        self.fence = 0
        self._order_sequence = 0
        self._report_sequence = 0
        self.last_report_time = 0.0
        self.report_requested = False

    def renew(self, reason: str) -> None:
        """Report under a new id, for which the coordinator has a new number.

        :param reason: why the former id can't be used any more.
        """
        former = self.process
        self.process = make_process_id()
        self.report_requested = True
        events.log_new_process_id(reason, self.process, former)

    def set_coordinator(self, fence: int) -> None:
        """Take orders of a new coordinator from now on.

        :param fence: fencing token of the coordinator.
        """
        LOG.info(
            'coordinator changed',
            extra={'fence': fence, 'former': self.fence},
        )
        self.fence = fence
        self._order_sequence = 0

    def is_for_former_process(self, message: orders.Orders) -> bool:
        """Return whether orders answer a report of a former process."""
        return message.process not in ('', self.process)

    def record_orders(self, sequence: int) -> bool:
        """Record the number of the coordinator's latest orders.

        :returns: ``False`` if they were overtaken by later ones.
        """
        if sequence <= self._order_sequence:
            return False
        self._order_sequence = sequence
        return True

    def record_report(self, now: float) -> int:
        """Record that a report is made, and return its number."""
        self._report_sequence += 1
        self.last_report_time = now
        self.report_requested = False
        return self._report_sequence


def make_process_id() -> str:
    """Return a new random id for a process of an agent."""
    return secrets.token_hex(8)
