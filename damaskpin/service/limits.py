"""Admission limits of an entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from damaskpin.model import config as configs
    from damaskpin.service import requests

DEFAULT_RATE = 100.0
# Number of requests that an account may send in a burst, in seconds of its
# sustained rate.
BURST_S = 2.0
DEFAULT_MAX_QUEUED = 1000
DEFAULT_MAX_RUNNING = 512
# Maximum number of waiting requests of all accounts. Beyond it, an early
# refusal serves a caller better than a long wait.
MAX_QUEUED = 4096
# Maximum total size of the bodies of all requests in progress: a quarter of
# the 128 MB of memory of a daemon.
MAX_BODY_BYTES = 32 * 1024 * 1024
RETRIES_PER_REQUEST = 0.1
MIN_RETRIES_PER_S = 0.5
RETRY_BURST = 20.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# Weight of the newest answer in the moving average of the time that requests
# take.
SERVICE_TIME_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request by the admission limits.

    :ivar retry_after: seconds after which a retry may succeed.
    """

    reason: str
    retry_after: float


class TokenBucket:
    """Token bucket that refills at a constant rate.

    :param rate: tokens added per second.
    :param burst: maximum number of tokens.
    """

    __slots__ = ('_tokens', '_updated_at', 'burst', 'rate')

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def resize(self, rate: float, burst: float) -> None:
        """Change the rate and the burst; discard tokens beyond the burst."""
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take_token(self, now: float) -> float:
        """Take a token if one is available.

        :returns: 0.0 if a token was taken, else the seconds until the next
            token is available.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate

    def add_tokens(self, now: float, tokens: float) -> None:
        """Add tokens, up to the burst size."""
        self._refill(now)
        self._tokens = min(self.burst, self._tokens + tokens)

    def _refill(self, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            added = (now - self._updated_at) * self.rate
            self._tokens = min(self.burst, self._tokens + added)
        self._updated_at = now


@dataclasses.dataclass(slots=True)
class _AccountLimits:
    """Limits of one client account, and its current number of requests.

    :ivar bucket: token bucket of the account's request rate.
    :ivar max_queued: maximum number of waiting requests.
    :ivar max_running: maximum number of running requests.
    :ivar queued: number of waiting requests.
    :ivar running: number of running requests.
    """

    bucket: TokenBucket
    max_queued: int
    max_running: int
    queued: int = 0
    running: int = 0


class Limits:
    """Admission and concurrency limits of an entry.

    :param default_rate: requests per second of an account without settings.
    :param max_queued: maximum number of waiting requests of all accounts.
    :param max_body_bytes: maximum total size of the bodies of all requests in
        progress.
    """

    __slots__ = (
        '_accounts',
        '_body_bytes',
        '_default_rate',
        '_max_body_bytes',
        '_retry_budget',
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
        self._accounts: dict[str, _AccountLimits] = {}
        self._retry_budget = TokenBucket(MIN_RETRIES_PER_S, RETRY_BURST)
        self._service_times: dict[str, float] = {}
        self._body_bytes = 0
        self.queued = 0

    def set_config(self, config: configs.Config) -> None:
        """Apply the account limits of a configuration."""
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
        """Set the limits of an account.

        The account keeps its tokens, up to the new burst size.

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
        requests_ahead: int,
        slots: int,
    ) -> Refusal | None:
        """Admit a request, or return why it is refused.

        :param requests_ahead: number of waiting requests that are served
            before the new one.
        :param slots: number of slots on healthy agents for its service.
        """
        account = self._get_account(request.account)
        wait = self.estimate_wait(request.service, requests_ahead, slots)
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
                f'bodies of requests in progress take {self._body_bytes} '
                f'bytes, the limit is {self._max_body_bytes}',
                _clamp_retry_after(wait),
            )
        # The rate is checked last, because the check takes a token from the
        # account even if another limit then refuses the request.
        delay = account.bucket.take_token(now)
        if delay > 0:
            return Refusal(
                f'account {request.account} is over its rate of '
                f'{account.bucket.rate:g} requests per second',
                _clamp_retry_after(delay),
            )
        self._body_bytes += size
        self._retry_budget.add_tokens(now, RETRIES_PER_REQUEST)
        return None

    def release_body(self, request: requests.Request) -> None:
        """Release the body size of an admitted request that has ended."""
        self._body_bytes -= len(request.body)

    def add_queued(self, name: str) -> None:
        """Count one more waiting request of an account."""
        self._get_account(name).queued += 1
        self.queued += 1

    def remove_queued(self, name: str) -> None:
        """Count one fewer waiting request of an account."""
        self._get_account(name).queued -= 1
        self.queued -= 1

    def is_below_running_limit(self, name: str) -> bool:
        """Return whether an account is below its concurrency limit."""
        account = self._get_account(name)
        return account.running < account.max_running

    def add_running(self, name: str) -> None:
        """Count one more running request of an account."""
        self._get_account(name).running += 1

    def remove_running(self, name: str) -> None:
        """Count one fewer running request of an account."""
        self._get_account(name).running -= 1

    def take_retry_token(self, now: float) -> bool:
        """Take one retry from the retry budget, if any is left.

        The budget grows with each admitted request and at a low fixed rate.

        :returns: whether a retry is allowed.
        """
        return self._retry_budget.take_token(now) == 0.0

    def record_service_time(self, service: str, seconds: float) -> None:
        """Update the mean service time with that of an answered request."""
        mean = self._service_times.get(service, seconds)
        self._service_times[service] = mean + SERVICE_TIME_WEIGHT * (
            seconds - mean
        )

    def estimate_wait(
        self, service: str, requests_ahead: int, slots: int
    ) -> float:
        """Return the expected wait of a request for a slot, in seconds."""
        if requests_ahead == 0:
            return 0.0
        return (
            requests_ahead
            * self._service_times.get(service, 0.0)
            / max(1, slots)
        )

    def _get_account(self, name: str) -> _AccountLimits:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _AccountLimits(
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
