"""Targets (back ends of services) that are announced to an agent."""

from __future__ import annotations

import collections
import dataclasses

from damaskpin.peer import messages

DEFAULT_SLOTS = 8
MAX_CONNECTIONS = 64
# Longest time to live of an announcement. A target must not receive requests
# for more than 3 s after it began to leave; with a longer time, a target that
# crashed would receive them for longer.
MAX_TTL_S = 3.0
# A longer gap between two calls of ``PauseDetector.record_call`` means that
# the process was paused, and that messages may have waited in its sockets.
MIN_PAUSE_S = 0.5
# Time after a pause in which the messages that arrived during it are handled.
PAUSE_SETTLE_S = 0.5


@dataclasses.dataclass(slots=True)
class Target:
    """The announced target of one service.

    :ivar slots: announced number of slots.
    :ivar expires_at: monotonic time at which the announcement expires.
    :ivar leaving: whether the target accepts no new requests.
    :ivar running_count: number of running requests.
    :ivar waiting: ids of the attempts that wait for a slot, oldest first.
    """

    slots: int
    expires_at: float
    leaving: bool
    running_count: int = 0
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )

    def accepts_requests(self, now: float) -> bool:
        """Return whether the target accepts new requests."""
        return not self.leaving and now < self.expires_at

    def get_slot_limit(self) -> int:
        """Return the maximum number of requests that run at the same time."""
        return min(self.slots, MAX_CONNECTIONS)

    def has_free_slot(self) -> bool:
        """Return whether one more request may run."""
        return self.running_count < self.get_slot_limit()

    def can_start_waiting(self, now: float) -> bool:
        """Return whether the oldest waiting attempt may start."""
        return (
            bool(self.waiting)
            and self.accepts_requests(now)
            and self.has_free_slot()
        )

    def is_gone(self, now: float) -> bool:
        """Return whether the target has left and has no requests any more."""
        return not (
            self.accepts_requests(now) or self.running_count or self.waiting
        )


class PauseDetector:
    """Detects pauses of this process.

    An announcement that arrived during a pause is dated to the start of the
    pause, because the target may have left since it sent the announcement.
    """

    __slots__ = ('_last_call', '_pause_end', '_pause_start')

    def __init__(self) -> None:
        self._last_call: float | None = None
        self._pause_start = self._pause_end = float('-inf')

    def record_call(self, now: float) -> None:
        """Record that the process was running at the given time."""
        if self._last_call is not None and now - self._last_call > MIN_PAUSE_S:
            self._pause_start = self._last_call
            self._pause_end = now
        self._last_call = now

    def get_earliest_send_time(self, now: float) -> float:
        """Return the earliest send time of a message that is handled now."""
        if now < self._pause_end + PAUSE_SETTLE_S:
            return self._pause_start
        return now


class TargetTable:
    """The announced targets of an agent, by service."""

    __slots__ = ('_pause_detector', '_targets')

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._pause_detector = PauseDetector()

    def record_call(self, now: float) -> None:
        """Record that the process was running at the given time."""
        self._pause_detector.record_call(now)

    def announce(
        self, now: float, service: str, slots: int, ttl: float, leaving: bool
    ) -> Target:
        """Record the announcement of a target.

        :param ttl: seconds after which the announcement expires, limited to
            ``MAX_TTL_S``.
        """
        target = self._targets.get(service)
        if target is None:
            target = self._targets[service] = Target(slots, now, leaving)
        target.slots = slots
        target.expires_at = self._pause_detector.get_earliest_send_time(
            now
        ) + min(ttl, MAX_TTL_S)
        target.leaving = leaving
        return target

    def get(self, service: str) -> Target | None:
        """Return the target of a service."""
        return self._targets.get(service)

    def list_services_and_targets(self) -> list[tuple[str, Target]]:
        """Return the services and their targets, sorted by service."""
        return sorted(self._targets.items(), key=lambda item: item[0])

    def remove_if_gone(self, now: float, service: str) -> None:
        """Remove the target of a service if it left and has no requests."""
        if self._targets[service].is_gone(now):
            del self._targets[service]

    def list_states(
        self, now: float, draining: bool
    ) -> tuple[messages.TargetState, ...]:
        """Return the states of the targets for the report of the agent."""
        return tuple(
            messages.TargetState(
                service=service,
                slots=target.get_slot_limit(),
                busy=target.running_count + len(target.waiting),
                leaving=draining or not target.accepts_requests(now),
            )
            for service, target in self.list_services_and_targets()
        )


def find_refusal_reason(
    target: Target | None, now: float, timeout: float, max_waiting: int
) -> str:
    """Return the reason to refuse a new request, or an empty string.

    :param timeout: seconds that the target may take to answer.
    :param max_waiting: number of requests that may wait for a slot.
    """
    if target is None:
        return 'no-target'
    if not target.accepts_requests(now):
        return 'leaving'
    if timeout <= 0:
        return 'expired'
    if target.has_free_slot() or len(target.waiting) < max_waiting:
        return ''
    return 'busy'
