"""Plans for units of jobs that have been idle for too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import crashes
from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import planning

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state

# Time in seconds for which a unit waits for a worker that is not suspect. It
# is shorter than the time for which a job may be idle beside room.
MAX_WAIT_FOR_SOUND_WORKER_S = 2.0


class IdlePlanner:
    """Finds workers for units of idle jobs, wherever there is room.

    Such a unit does not wait for a better place, nor beside capacity that is
    reserved for later jobs. Its choices, the best first:

    - workers that have neither refused it nor failed under it, in the rack of
      its data before others;
    - the other workers that are not suspect;
    - suspect workers, while no new jobs arrive. A last attempt starts only on
      those without a failed run, as a failing worker with room would
      otherwise end many jobs; runs that stall do not count as attempts.

    Among each of these, suspects of crashes start apart from other units if
    there is room for that, and beside them otherwise, as other units may keep
    on starting on all workers.

    :param limit: limit on idle time in this pass.
    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """

    __slots__ = ('_guaranteed', '_ledger', '_limit', '_now')

    def __init__(
        self,
        now: float,
        ledger: ledgers.RunLedger,
        limit: idle_limit.IdleLimit,
        guaranteed: set[str],
    ) -> None:
        self._now = now
        self._ledger = ledger
        self._limit = limit
        self._guaranteed = guaranteed

    def find_plan(self, unit: jobs.Unit) -> planning.Plan | None:
        """Return a plan that starts a unit of an idle job at once.

        :returns: ``None`` if its job is not idle for too long, or if there is
            no room.
        """
        if not self._limit.is_exceeded(unit):
            return None
        workers = idle_limit.list_workers(
            self._ledger, unit.job.submission.terms.service
        )
        if not self._limit.has_ample_room(unit):
            return None
        usable = [
            worker
            for worker in workers
            if worker.is_usable(self._now)
            and not worker.start_pause.is_active(self._now)
        ]
        sound = [w for w in usable if w.suspect_until <= self._now]
        preferred = list_not_avoided(unit, sound)
        plan = self._find_plan_on(unit, preferred)
        if plan is None and len(preferred) < len(sound):
            plan = self._find_plan_on(unit, sound)
        if plan is not None or len(sound) == len(usable):
            return plan
        if not self._may_start_on_suspects(unit):
            return None
        if unit.is_last_attempt():
            usable = [w for w in usable if not w.has_failed_since_success()]
        return self._find_plan_on(unit, usable)

    def _may_start_on_suspects(self, unit: jobs.Unit) -> bool:
        if not self._limit.is_quiet():
            return False
        idle = self._limit.measure_idle(unit)
        return idle >= MAX_WAIT_FOR_SOUND_WORKER_S

    def _find_plan_on(
        self, unit: jobs.Unit, workers: list[worker_state.Worker]
    ) -> planning.Plan | None:
        plan = self._search(unit, workers, True)
        if plan is not None:
            return plan
        suspect = unit.is_suspect()
        if all(
            crashes.may_share_worker(self._now, suspect, worker)
            for worker in workers
        ):
            return None
        return self._search(unit, workers, False)

    def _search(
        self,
        unit: jobs.Unit,
        workers: list[worker_state.Worker],
        isolates_suspects: bool,
    ) -> planning.Plan | None:
        planner = planning.Planner(
            self._now,
            workers,
            self._ledger.tickets,
            self._guaranteed,
            self._limit.list_heeded_reservations(unit),
            False,
            isolates_suspects,
        )
        if planner.has_local_workers(unit):
            plan = planner.find_immediate(unit, local=True)
            if plan is not None:
                return plan
        return planner.find_immediate(unit, local=False)


def list_not_avoided(
    unit: jobs.Unit, workers: list[worker_state.Worker]
) -> list[worker_state.Worker]:
    """Return the workers that have not refused a unit or failed under it."""
    avoided = unit.job.avoided_workers.get(unit.get_key()[1:], ())
    return [w for w in workers if w.lifetime.worker not in avoided]
