"""Circuit breaker that an entry keeps for each agent."""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

LOG = logging.getLogger(__name__)

FAILURES_TO_OPEN = 5
MIN_OPEN_S = 1.0
MAX_OPEN_S = 30.0
# Time after the start of a probe (a test attempt on an agent whose breaker is
# open) after which a new one is allowed, so that a probe whose end is never
# recorded does not keep the breaker half-open for ever.
PROBE_TIMEOUT_S = 10.0


class Outcome(enum.StrEnum):
    """Outcome of an attempt, as evidence of the health of the agent."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    SILENT = 'silent'
    BUSY = 'busy'
    TARGET_LEAVING = 'left'
    ABANDONED = 'abandoned'


class _State(enum.Enum):
    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


class Breaker:
    """Stops attempts on an agent after consecutive failures or on silence.

    :param name: instance id of the agent, for log messages.
    :param rng: random source for the jitter of the open period.
    """

    __slots__ = (
        '_failures',
        '_name',
        '_open_duration',
        '_open_until',
        '_probe_started_at',
        '_rng',
        '_state',
    )

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._state = _State.CLOSED
        self._failures = 0
        self._open_duration = MIN_OPEN_S
        self._open_until = 0.0
        self._probe_started_at = 0.0

    @property
    def state(self) -> str:
        """Name of the state, for logs and metrics."""
        return self._state.value

    def is_closed(self) -> bool:
        """Return whether the breaker is closed: the agent is healthy."""
        return self._state is _State.CLOSED

    def allows_attempt(self, now: float) -> bool:
        """Return whether an attempt may be sent to the agent."""
        match self._state:
            case _State.CLOSED:
                return True
            case _State.OPEN:
                return now >= self._open_until
        return now - self._probe_started_at >= PROBE_TIMEOUT_S

    def record_start(self, now: float) -> None:
        """Record the start of an attempt.

        Unless the breaker is closed, this attempt is a probe.
        """
        if self._state is _State.CLOSED:
            return
        self._state = _State.HALF_OPEN
        self._probe_started_at = now

    def would_open_on_failure(self) -> bool:
        """Return whether one more failure would open the breaker."""
        return (
            self._state is _State.CLOSED
            and self._failures + 1 >= FAILURES_TO_OPEN
        )

    def record_outcome(self, now: float, outcome: Outcome) -> bool:
        """Record the outcome of an attempt.

        :returns: whether this outcome closed a half-open breaker.
        """
        match outcome:
            case Outcome.ANSWERED:
                return self._record_success()
            case Outcome.FAILED:
                self._failures += 1
                if (
                    self._state is _State.HALF_OPEN
                    or self._failures >= FAILURES_TO_OPEN
                ):
                    self._open(now, f'{self._failures} consecutive failures')
            case Outcome.SILENT:
                self._open(now, 'silence')
            case _:
                if self._state is _State.HALF_OPEN:
                    # The outcome of the probe does not show whether the target
                    # is healthy, so another probe is allowed at once.
                    self._state = _State.OPEN
                    self._open_until = now
        return False

    def _record_success(self) -> bool:
        # An answer to an attempt that was sent before the breaker opened does
        # not show that the agent has recovered since.
        if self._state is _State.OPEN:
            return False
        was_half_open = self._state is _State.HALF_OPEN
        if was_half_open:
            LOG.info('agent %s: circuit breaker closed', self._name)
        self._state = _State.CLOSED
        self._failures = 0
        self._open_duration = MIN_OPEN_S
        return was_half_open

    def _open(self, now: float, reason: str) -> None:
        if self._state is _State.OPEN:
            return
        if self._state is _State.HALF_OPEN:
            self._open_duration = min(self._open_duration * 2, MAX_OPEN_S)
        self._state = _State.OPEN
        self._open_until = now + self._open_duration * self._rng.uniform(
            0.75, 1.25
        )
        LOG.warning(
            'agent %s: circuit breaker opened for %.1f s after %s',
            self._name,
            self._open_until - now,
            reason,
        )
