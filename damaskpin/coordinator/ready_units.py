"""Units that a placement pass may start, in the order of their rank."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import crashes
from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import ranking

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers


def list_ready_units(
    now: float, wall: float, ledger: ledgers.RunLedger, guaranteed: set[str]
) -> list[jobs.Unit]:
    """Return the units that are ready to start, sorted by rank.

    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    limit = idle_limit.IdleLimit(now, ledger)
    units: list[jobs.Unit] = []
    for job in ledger.jobs.values():
        units.extend(
            unit
            for unit in job.iterate_ready(now, wall)
            if not crashes.is_held_back(now, ledger, unit, limit)
        )
    units.sort(key=lambda unit: ranking.get_sort_key(unit, wall, guaranteed))
    return units
