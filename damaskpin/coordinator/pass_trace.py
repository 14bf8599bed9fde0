"""Trace of the latest placement pass, from which a wait can be explained."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work

    UnitKey = tuple[str, int, int, int]


class Outcome(enum.StrEnum):
    """What a placement pass did with a ready unit."""

    SKIPPED = 'skipped'
    STARTED = 'started'
    TRIED = 'tried'


@dataclasses.dataclass(frozen=True, slots=True)
class TracedReservation:
    """Capacity of a worker that is reserved for a unit.

    :ivar unit: key of the unit.
    :ivar demand: reserved capacity.
    :ivar expected_start: time at which the unit should start, in seconds.
    :ivar is_firm: whether no idle job may use the capacity.
    :ivar since: time in seconds since which each pass has reserved for the
        unit.
    """

    unit: UnitKey
    demand: work.Resources
    expected_start: float
    is_firm: bool
    since: float


class PassTrace:
    """What the latest placement pass did with each ready unit.

    :ivar time: time of the pass in seconds.
    :ivar outcomes: outcome by the key of the unit.
    :ivar reservations: reserved capacity by worker.
    """

    __slots__ = ('_former_since', '_since', 'outcomes', 'reservations', 'time')

    def __init__(self) -> None:
        self.time = -math.inf
        self.outcomes: dict[UnitKey, Outcome] = {}
        self.reservations: dict[work.Lifetime, list[TracedReservation]] = {}
        self._since: dict[UnitKey, float] = {}
        self._former_since: dict[UnitKey, float] = {}

    def begin(self, now: float) -> None:
        """Discard the trace of the former pass.

        :param now: steady time in seconds.
        """
        self.time = now
        self.outcomes = {}
        self.reservations = {}
        self._former_since = self._since
        self._since = {}

    def record_outcome(self, unit: jobs.Unit, outcome: Outcome) -> None:
        """Record what the pass did with a unit."""
        self.outcomes[unit.get_key()] = outcome

    def record_reservation(
        self,
        unit: jobs.Unit,
        workers: Iterable[worker_state.Worker],
        expected_start: float,
        is_firm: bool,
    ) -> None:
        """Record that the pass reserved capacity for a unit.

        :param workers: a worker for each index of the unit.
        :param expected_start: time at which the unit should start, in seconds.
        :param is_firm: whether no idle job may use the capacity.
        """
        key = unit.get_key()
        since = self._since.setdefault(
            key, self._former_since.get(key, self.time)
        )
        reservation = TracedReservation(
            key, unit.step.get_reservation(), expected_start, is_firm, since
        )
        for worker in workers:
            self.reservations.setdefault(worker.lifetime, []).append(
                reservation
            )
