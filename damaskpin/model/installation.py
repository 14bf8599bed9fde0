"""What the operators configure: queues, services and client accounts."""

from __future__ import annotations

import msgspec

from damaskpin.model import work


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue and the addresses that lead to it.

    :ivar host: host name that callers use.
    :ivar prefix: start of the path.
    :ivar service: service whose workers run its jobs.
    :ivar anonymous: whether callers need no key.
    :ivar timeout: seconds that a caller's request may take.
    :ivar advice: advisor that must permit each worker; ``None`` for none.
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
    advice: work.Advice | None = None

    def get_terms(self) -> work.Terms:
        """Return the terms for a job accepted now."""
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

    :ivar keys: secrets that identify its callers.
    :ivar guaranteed: accelerators for its jobs of priority 0 at all times.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int


class Service(msgspec.Struct, frozen=True):
    """A pool of workers.

    :ivar guards_capacity: whether its workers refuse what does not fit.
    """

    name: str
    guards_capacity: bool


class Installation(msgspec.Struct, frozen=True):
    """One version of the operators' configuration.

    :ivar max_body: bytes of a request body at most.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    max_body: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    def find_account(self, key: str) -> Account | None:
        """Return the client account that a key belongs to."""
        for account in self.accounts:
            if key in account.keys:
                return account
        return None

    def get_guarantee(self, name: str) -> int:
        """Return the accelerators guaranteed to a client account."""
        for account in self.accounts:
            if account.name == name:
                return account.guaranteed
        return 0
