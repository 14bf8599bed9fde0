"""Questions for the advisor about the units that wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import ranking
from damaskpin.coordinator import ready_units

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import advice
    from damaskpin.coordinator import ledger as ledgers


def choose_next_question(
    now: float,
    wall: float,
    ledger: ledgers.RunLedger,
    get_guarantee: Callable[[str], int],
) -> advice.AdvisorQuestion | None:
    """Return the next question for the advisor, or ``None``."""
    if ledger.tickets.has_pending_question():
        return None
    jobs_with_advice = [
        job
        for job in ledger.jobs.values()
        if job.submission.terms.advice is not None and not job.is_final()
    ]
    if not jobs_with_advice:
        return None
    guaranteed = ranking.find_guaranteed(ledger.jobs.values(), get_guarantee)
    units = ready_units.list_ready_units(now, wall, ledger, guaranteed)
    workers = [w for w in ledger.workers.values() if w.is_usable(now)]
    return ledger.tickets.choose_next_question(now, units, workers)
