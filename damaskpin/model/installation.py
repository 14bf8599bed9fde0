"""Configuration by the operators: queues, services and client accounts."""

from __future__ import annotations

import msgspec

from damaskpin.model import work


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A job queue and the URLs that are routed to it.

    :ivar host: host name of the requests routed to the queue.
    :ivar prefix: path prefix of the requests routed to the queue.
    :ivar service: service whose workers run the queue's jobs.
    :ivar priority: priority of the queue's jobs; 0 is the highest.
    :ivar attempts: failed runs of a work item after which its job fails.
    :ivar stretch: target completion time as a multiple of the critical path.
    :ivar allowance: seconds added to the target completion time.
    :ivar anonymous: whether callers may send requests without a key.
    :ivar timeout: maximum seconds that a caller's request may take.
    :ivar advice: time limits of the advisor that must approve each worker;
        ``None`` if no approval is needed.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    allowance: float
    anonymous: bool
    timeout: float
    advice: work.AdvisorTimes | None = None

    def get_terms(self) -> work.Terms:
        """Return the queue settings that a newly accepted job keeps.

        They are the job's terms: its queue, service, priority, retry limit,
        target completion time and advisor time limits. Later changes of the
        queue do not affect the job.
        """
        return work.Terms(
            self.name,
            self.service,
            self.priority,
            self.attempts,
            self.stretch,
            self.allowance,
            self.advice,
        )


class Account(msgspec.Struct, frozen=True):
    """A client account.

    :ivar keys: secret keys with which its callers authenticate.
    :ivar guaranteed: number of accelerators always available to the account's
        jobs of priority 0.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int


class Service(msgspec.Struct, frozen=True):
    """A pool of workers.

    :ivar guards_capacity: whether its workers refuse runs that exceed their
        capacity.
    """

    name: str
    guards_capacity: bool


class Installation(msgspec.Struct, frozen=True):
    """One version of the operators' configuration.

    :ivar max_body: maximum size of a request body in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    max_body: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest path prefix that matches a URL."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    def find_account(self, key: str) -> Account | None:
        """Return the client account that owns a secret key."""
        for account in self.accounts:
            if key in account.keys:
                return account
        return None

    def get_guarantee(self, name: str) -> int:
        """Return the number of accelerators guaranteed to a client account."""
        for account in self.accounts:
            if account.name == name:
                return account.guaranteed
        return 0
