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
MAX_SCANNED_REQUESTS = 16

_AccountQueue = collections.OrderedDict[str, 'requests.PendingRequest']


class WaitingQueue:
    """Requests that wait for a slot, by service and priority.

    Within a service and priority, the accounts take turns.
    """

    __slots__ = ('_queues', 'size')

    def __init__(self) -> None:
        self._queues: dict[
            tuple[str, jobs.Priority],
            collections.OrderedDict[str, _AccountQueue],
        ] = {}
        self.size = 0

    def add(
        self, pending: requests.PendingRequest, at_front: bool = False
    ) -> None:
        """Add a request to the queue.

        :param at_front: whether the request goes before the other requests of
            its account.
        """
        request = pending.request
        accounts = self._queues.setdefault(
            (request.service, request.priority), collections.OrderedDict()
        )
        account_queue = accounts.setdefault(
            request.account, collections.OrderedDict()
        )
        account_queue[request.id] = pending
        if at_front:
            account_queue.move_to_end(request.id, last=False)
        self.size += 1

    def remove(self, pending: requests.PendingRequest) -> None:
        """Remove a waiting request from the queue."""
        request = pending.request
        key = (request.service, request.priority)
        accounts = self._queues[key]
        account_queue = accounts[request.account]
        del account_queue[request.id]
        if not account_queue:
            del accounts[request.account]
        if not accounts:
            del self._queues[key]
        self.size -= 1

    def count_requests_ahead(
        self, service: str, priority: jobs.Priority
    ) -> int:
        """Return how many waiting requests are served before a new one.

        :param service: service of the new request.
        :param priority: priority of the new request.
        """
        return sum(
            len(account_queue)
            for level in jobs.Priority
            if level <= priority
            for account_queue in self._queues.get(
                (service, level), {}
            ).values()
        )

    def list_services(self) -> list[str]:
        """Return the services that have waiting requests."""
        return list(dict.fromkeys(service for service, _ in self._queues))

    def iterate_requests(
        self, service: str
    ) -> Iterator[requests.PendingRequest]:
        """Yield the waiting requests in the order in which they get slots.

        Higher priorities go first. Within a priority, the accounts take turns
        with one request each. The caller may remove the yielded request: its
        account then moves to the end of the order for later passes.
        """
        for priority in jobs.Priority:
            accounts = self._queues.get((service, priority))
            if not accounts:
                continue
            candidates = {
                account: list(
                    itertools.islice(
                        account_queue.values(), MAX_SCANNED_REQUESTS
                    )
                )
                for account, account_queue in accounts.items()
            }
            while candidates:
                for account in list(candidates):
                    pending = candidates[account].pop(0)
                    if not candidates[account]:
                        del candidates[account]
                    size_before = self.size
                    yield pending
                    if self.size < size_before and account in accounts:
                        accounts.move_to_end(account)

    def find_victim(
        self, new_priority: jobs.Priority
    ) -> requests.PendingRequest | None:
        """Choose a waiting request to shed in favour of a new one.

        :param new_priority: priority of the new request.
        :returns: the newest request of the account with the most requests in
            the lowest priority, or ``None`` if no waiting request has a lower
            priority than the new one.
        """
        for priority in reversed(jobs.Priority):
            if priority <= new_priority:
                return None
            account_queues = [
                account_queue
                for (_, level), accounts in self._queues.items()
                if level == priority
                for account_queue in accounts.values()
            ]
            if account_queues:
                longest = max(account_queues, key=len)
                return longest[next(reversed(longest))]
        return None
