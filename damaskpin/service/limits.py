"""Admission limits of an entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from damaskpin.model import config as configs
    from damaskpin.service import requests

DEFAULT_RATE = 100.0
# Seconds of the sustained rate that an account may use at once.
BURST_S = 2.0
DEFAULT_MAX_QUEUED = 1000
DEFAULT_MAX_RUNNING = 512
# Waiting requests of all accounts: beyond this, a caller is better served by
# an early refusal.
MAX_QUEUED = 4096
# Bodies of all requests in progress: a quarter of the 128 MB of a daemon.
MAX_BODY_BYTES = 32 * 1024 * 1024
RETRY_RATIO = 0.1
RETRY_FLOOR_PER_S = 0.5
RETRY_BURST = 20.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# Weight of the newest answer in the mean time that a request takes.
SERVICE_TIME_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not admitted.

    :ivar retry_after: seconds after which a retry may succeed.
    """

    reason: str
    retry_after: float


class TokenBucket:
    """Tokens that refill at a constant rate.

    :param rate: tokens per second.
    :param burst: largest number of tokens.
    """

    __slots__ = ('_tokens', '_updated', 'burst', 'rate')

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated: float | None = None

    def resize(self, rate: float, burst: float) -> None:
        """Change the rate and the burst; tokens beyond the burst are lost."""
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now: float) -> float:
        """Take a token.

        :returns: 0.0, or the seconds until a token is there.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate

    def put(self, now: float, tokens: float) -> None:
        """Add tokens, up to the burst."""
        self._refill(now)
        self._tokens = min(self.burst, self._tokens + tokens)

    def _refill(self, now: float) -> None:
        if self._updated is not None and now > self._updated:
            added = (now - self._updated) * self.rate
            self._tokens = min(self.burst, self._tokens + added)
        self._updated = now


@dataclasses.dataclass(slots=True)
class _Account:
    bucket: TokenBucket
    max_queued: int
    max_running: int
    queued: int = 0
    running: int = 0


class Limits:
    """Decides which requests an entry admits.

    :param default_rate: requests per second of an account without settings.
    :param max_queued: bound on waiting requests of all accounts.
    :param max_body_bytes: bound on the bodies of all requests in progress.
    """

    __slots__ = (
        '_accounts',
        '_body_bytes',
        '_default_rate',
        '_max_body_bytes',
        '_retries',
        '_service_times',
        'max_queued',
        'queued',
    )

    def __init__(
        self,
        default_rate: float = DEFAULT_RATE,
        max_queued: int = MAX_QUEUED,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._default_rate = default_rate
        self.max_queued = max_queued
        self._max_body_bytes = max_body_bytes
        self._accounts: dict[str, _Account] = {}
        self._retries = TokenBucket(RETRY_FLOOR_PER_S, RETRY_BURST)
        self._service_times: dict[str, float] = {}
        self._body_bytes = 0
        self.queued = 0

    def set_config(self, config: configs.Config) -> None:
        """Apply the limits of all accounts of a configuration."""
        for account in config.accounts:
            self.set_account(
                account.name,
                account.requests_per_second,
                account.max_queued,
            )

    def set_account(
        self,
        name: str,
        rate: float,
        max_queued: int = DEFAULT_MAX_QUEUED,
        max_running: int = DEFAULT_MAX_RUNNING,
    ) -> None:
        """Set the limits of an account; tokens in hand stay up to the burst.

        :param rate: requests per second.
        """
        account = self._get_account(name)
        account.bucket.resize(rate, max(1.0, rate * BURST_S))
        account.max_queued = max_queued
        account.max_running = max_running

    def admit(
        self,
        now: float,
        request: requests.Request,
        ahead: int,
        slots: int,
    ) -> Refusal | None:
        """Decide whether a request may enter.

        :param ahead: waiting requests that go before it.
        :param slots: slots of the healthy targets of its service.
        """
        account = self._get_account(request.account)
        wait = self.estimate_wait(request.service, ahead, slots)
        if request.deadline_seconds <= 0 or wait > request.deadline_seconds:
            return Refusal(
                f'the deadline of {request.deadline_seconds:g} s cannot be '
                f'met: the expected wait is {wait:.1f} s',
                _clamp_retry_after(wait),
            )
        if account.queued >= account.max_queued:
            return Refusal(
                f'account {request.account} has {account.queued} requests '
                f'waiting, the limit is {account.max_queued}',
                _clamp_retry_after(wait),
            )
        size = len(request.body)
        if self._body_bytes + size > self._max_body_bytes:
            return Refusal(
                f'bodies in progress hold {self._body_bytes} bytes, the '
                f'limit is {self._max_body_bytes}',
                _clamp_retry_after(wait),
            )
        # The last check, as it takes a token.
        delay = account.bucket.take(now)
        if delay > 0:
            return Refusal(
                f'account {request.account} is over its rate of '
                f'{account.bucket.rate:g} requests per second',
                _clamp_retry_after(delay),
            )
        self._body_bytes += size
        self._retries.put(now, RETRY_RATIO)
        return None

    def release(self, request: requests.Request) -> None:
        """Record that an admitted request has concluded."""
        self._body_bytes -= len(request.body)

    def enqueue(self, name: str) -> None:
        """Record that a request of an account waits."""
        self._get_account(name).queued += 1
        self.queued += 1

    def dequeue(self, name: str) -> None:
        """Record that a request of an account no longer waits."""
        self._get_account(name).queued -= 1
        self.queued -= 1

    def may_run(self, name: str) -> bool:
        """Return whether an account is below its concurrency limit."""
        account = self._get_account(name)
        return account.running < account.max_running

    def start(self, name: str) -> None:
        """Record that a request of an account has an attempt."""
        self._get_account(name).running += 1

    def stop(self, name: str) -> None:
        """Record that a request of an account has no attempt any more."""
        self._get_account(name).running -= 1

    def take_retry(self, now: float) -> bool:
        """Take a retry from the budget: a share of fresh work plus a floor."""
        return self._retries.take(now) == 0.0

    def record_time(self, service: str, seconds: float) -> None:
        """Learn how long an answered request took."""
        mean = self._service_times.get(service, seconds)
        self._service_times[service] = mean + SERVICE_TIME_WEIGHT * (
            seconds - mean
        )

    def estimate_wait(self, service: str, ahead: int, slots: int) -> float:
        """Return the expected seconds until a request gets a slot."""
        if ahead == 0:
            return 0.0
        return ahead * self._service_times.get(service, 0.0) / max(1, slots)

    def _get_account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(
                TokenBucket(
                    self._default_rate, max(1.0, self._default_rate * BURST_S)
                ),
                DEFAULT_MAX_QUEUED,
                DEFAULT_MAX_RUNNING,
            )
        return account


def compute_backoff(rng: random.Random, tries: int) -> float:
    """Return a jittered, exponentially growing delay in seconds.

    :param tries: failed tries so far, at least 1.
    """
    ceiling = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(tries - 1, 16))
    return rng.uniform(ceiling / 2, ceiling)


def _clamp_retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
