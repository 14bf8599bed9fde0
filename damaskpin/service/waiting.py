"""Queue of the requests of an entry that wait for a slot."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from damaskpin.service import requests

# Maximum number of requests of one account that are considered in one pass
# over the queue; the others wait for a later pass.
MAX_SCAN = 16

_Lane = collections.OrderedDict[str, 'requests.Work']


class WaitingQueue:
    """Queue by service and priority, with round robin over accounts."""

    __slots__ = ('_lanes', 'size')

    def __init__(self) -> None:
        self._lanes: dict[
            tuple[str, jobs.Priority], collections.OrderedDict[str, _Lane]
        ] = {}
        self.size = 0

    def add(self, work: requests.Work, first: bool = False) -> None:
        """Add a request to the queue.

        :param first: whether it goes before other requests of the account.
        """
        request = work.request
        accounts = self._lanes.setdefault(
            (request.service, request.priority), collections.OrderedDict()
        )
        lane = accounts.setdefault(request.account, collections.OrderedDict())
        lane[request.id] = work
        if first:
            lane.move_to_end(request.id, last=False)
        self.size += 1

    def remove(self, work: requests.Work) -> None:
        """Remove a waiting request from the queue."""
        request = work.request
        key = (request.service, request.priority)
        accounts = self._lanes[key]
        lane = accounts[request.account]
        del lane[request.id]
        if not lane:
            del accounts[request.account]
        if not accounts:
            del self._lanes[key]
        self.size -= 1

    def count_ahead(self, service: str, priority: jobs.Priority) -> int:
        """Return how many requests are served before a new one."""
        return sum(
            len(lane)
            for level in jobs.Priority
            if level <= priority
            for lane in self._lanes.get((service, level), {}).values()
        )

    def list_services(self) -> list[str]:
        """Return the services that have waiting requests."""
        return list(dict.fromkeys(service for service, _ in self._lanes))

    def iterate(self, service: str) -> Iterator[requests.Work]:
        """Yield the waiting requests of a service in the order of service.

        Higher priorities go first. Within a priority, the accounts take turns
        with one request each. The caller may remove the yielded request: its
        account then moves to the end of the order for later passes.
        """
        for priority in jobs.Priority:
            accounts = self._lanes.get((service, priority))
            if not accounts:
                continue
            heads = {
                account: list(itertools.islice(lane.values(), MAX_SCAN))
                for account, lane in accounts.items()
            }
            while heads:
                for account in list(heads):
                    work = heads[account].pop(0)
                    if not heads[account]:
                        del heads[account]
                    before = self.size
                    yield work
                    if self.size < before and account in accounts:
                        accounts.move_to_end(account)

    def find_victim(self, newcomer: jobs.Priority) -> requests.Work | None:
        """Choose a waiting request to shed in favour of a new one.

        :param newcomer: priority of the new request.
        :returns: the newest request of the account with the most requests in
            the lowest priority, or ``None`` if no waiting request has a lower
            priority than the new one.
        """
        for priority in reversed(jobs.Priority):
            if priority <= newcomer:
                return None
            lanes = [
                lane
                for (_, level), accounts in self._lanes.items()
                if level == priority
                for lane in accounts.values()
            ]
            if lanes:
                longest = max(lanes, key=len)
                return longest[next(reversed(longest))]
        return None
