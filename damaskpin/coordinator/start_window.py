"""Selection of the start orders that one message to an agent carries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from damaskpin.peer import orders

# Size of the start orders in a message, in bytes. The message crosses the
# slowest link between two regions within a fraction of the timeout of a call,
# and an agent makes fewer start calls at a time than it holds.
MAX_STARTS_BYTES = 32 * 1024

# Size of a start order without its texts, in bytes.
START_BYTES = 100


class StartWindow:
    """Start orders for one message, and the texts that they share.

    :param shares_contents: whether the agent reads the input text of a job
        from the message, so that it is not repeated in each start.
    :ivar contents: input texts by the id of their job.
    """

    __slots__ = ('_shares_contents', '_size', 'contents', 'starts')

    def __init__(self, shares_contents: bool) -> None:
        self._shares_contents = shares_contents
        self._size = 0
        self.starts: list[orders.StartOrder] = []
        self.contents: dict[str, str] = {}

    def has_room(self, start: orders.StartOrder) -> bool:
        """Return whether a start fits; the first one always does."""
        size = self._size + self._measure(start)
        return not self.starts or size <= MAX_STARTS_BYTES

    def add(self, start: orders.StartOrder) -> None:
        """Add a start order."""
        self._size += self._measure(start)
        if self._shares_contents:
            self.contents[start.run.item.job] = start.content
            start = msgspec.structs.replace(start, content='')
        self.starts.append(start)

    def _measure(self, start: orders.StartOrder) -> int:
        """Return the bytes that a start adds to the message."""
        size = START_BYTES + len(start.checkpoint.encode())
        size += len(start.ticket.encode())
        if start.run.item.job not in self.contents:
            size += len(start.content.encode())
        return size
