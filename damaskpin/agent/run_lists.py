"""Latest lists of runs of an agent's worker."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.agent import calls

# Number of ended runs that are remembered beyond their acknowledgement, so
# that a crash is not blamed on them. Only runs of the last seconds matter.
MAX_RECENT_ENDS = 2 * work.MAX_LISTED_ENDS


class RunLists:
    """Lists of one worker process and what the coordinator knows of them.

    :ivar latest: latest lists; ``None`` without lists.
    :ivar fence: fencing token of the coordinator in the poll that returned
        them; 0 without lists.
    :ivar recent_ends: latest runs that were listed as ended.
    :ivar recorded_serial: serial of the last ended run that the coordinator
        has recorded.
    :ivar former_calls_void: whether the worker refuses calls that were made
        for its former processes, since it has answered a poll.
    """

    __slots__ = (
        'fence',
        'former_calls_void',
        'latest',
        'recent_ends',
        'recorded_serial',
    )

    def __init__(self) -> None:
        self.latest: calls.Lists | None = None
        self.fence = 0
        self.recent_ends: collections.deque[work.Run] = collections.deque(
            maxlen=MAX_RECENT_ENDS
        )
        self.recorded_serial = 0
        self.former_calls_void = False

    def update(self, fence: int, lists: calls.Lists) -> bool:
        """Replace the lists by those of a later poll.

        :returns: whether the coordinator should hear of them at once.
        """
        is_new = self.is_complete(fence) != lists.complete
        is_new |= self.fence != fence
        last_serial = self._get_last_serial()
        for row in lists.ended:
            if row.serial > last_serial:
                is_new = True
                self.recent_ends.append(row.run)
        self.fence = fence
        self.latest = lists
        return is_new

    def is_complete(self, fence: int) -> bool:
        """Return whether a run that is not listed certainly does not exist.

        :param fence: fencing token of the current coordinator. The worker
            refuses starts that former coordinators ordered once it has
            answered a poll with this token.
        """
        if self.latest is None or self.fence != fence:
            return False
        return self.latest.complete

    def list_runs(self) -> set[work.Run]:
        """Return all listed runs, running or ended."""
        if self.latest is None:
            return set()
        listed = {row.run for row in self.latest.running}
        return listed | {row.run for row in self.latest.ended}

    def list_running(self) -> list[work.Run]:
        """Return the runs that are listed as running."""
        if self.latest is None:
            return []
        return [row.run for row in self.latest.running]

    def remove_running(self) -> list[work.Run]:
        """Remove the running runs from the lists and return them."""
        if self.latest is None:
            return []
        running = self.list_running()
        self.latest = msgspec.structs.replace(self.latest, running=())
        return running

    def list_unrecorded_ends(self) -> tuple[work.EndedRun, ...]:
        """Return the ended runs that the coordinator has not recorded."""
        if self.latest is None:
            return ()
        return tuple(
            row
            for row in self.latest.ended
            if row.serial > self.recorded_serial
        )

    def has_unrecorded_end(self) -> bool:
        """Return whether the coordinator has not recorded all ended runs."""
        return self._get_last_serial() > self.recorded_serial

    def count_ends(self) -> int:
        """Return the number of listed ended runs."""
        return len(self.latest.ended) if self.latest is not None else 0

    def get_acknowledged_serial(self) -> int:
        """Return the serial up to which the worker may forget ended runs.

        Only listed ended runs are acknowledged, because the serials of a
        worker that was restarted with the same id start from 1 again.
        """
        return min(self.recorded_serial, self._get_last_serial())

    def _get_last_serial(self) -> int:
        if self.latest is None or not self.latest.ended:
            return 0
        return self.latest.ended[-1].serial
