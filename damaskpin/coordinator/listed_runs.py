"""Runs that the workers list, apart from the books of the coordinator."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import idle_limit
from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import due_steps
    from damaskpin.peer import orders

    FindReservation = Callable[[work.Run], work.Resources | None]

# Time in seconds after the latest report on a worker for which it is taken to
# exist. Leases of workers end some seconds after the last contact.
RETENTION_S = 10.0

# Time in seconds for which an accepted run counts as listed. Agents report
# each 0.5 s, and the list in a report may be as old.
ACCEPTED_GRACE_S = 1.0

# Number of searches for room in one look at the workers, which bounds its cost
# when many jobs with different demands wait.
MAX_SEARCHES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRoom:
    """Room on a worker, by its own lists.

    :ivar free: capacity that its listed and newly accepted runs leave.
    :ivar running: runs that it lists.
    """

    lifetime: work.Lifetime
    free: work.Resources
    running: tuple[work.RunningRun, ...]


@dataclasses.dataclass(slots=True)
class WorkerLists:
    """Latest report on one lifetime of a worker.

    :ivar running: runs that the worker has listed last.
    :ivar listed_at: time in seconds at which it has listed them.
    :ivar reported_at: arrival of the latest report in seconds.
    :ivar last_end_serial: serial of the latest end that it has listed.
    :ivar accepted: accepted runs that it has not listed yet, and when a report
        first had them, in seconds.
    """

    profile: orders.WorkerProfile
    agent: str
    process: str
    sequence: int
    running: tuple[work.RunningRun, ...]
    listed_at: float
    reported_at: float
    last_end_serial: int = 0
    accepted: dict[work.Run, float] = dataclasses.field(default_factory=dict)

    def list_accepted(self, now: float) -> list[work.Run]:
        """Return the runs that were accepted too lately for a list.

        :param now: steady time in seconds.
        """
        return [
            run
            for run, since in self.accepted.items()
            if now - since <= ACCEPTED_GRACE_S
        ]


class ListedRuns:
    """Runs and capacities by worker, as the reports of agents tell.

    :ivar workers: latest report by lifetime.
    :ivar last_listed: time in seconds at which a run of the job was last in
        a list, by job id.
    """

    __slots__ = ('last_listed', 'workers')

    def __init__(self) -> None:
        self.workers: dict[work.Lifetime, WorkerLists] = {}
        self.last_listed: dict[str, float] = {}

    def record(self, now: float, report: orders.Report) -> None:
        """Record the lists of a report, unless it is a late one.

        :param now: time of its arrival in seconds.
        """
        if report.left is not None:
            self.workers.pop(report.left, None)
        profile = report.profile
        if profile is None or profile.lifetime == report.left:
            return
        known = self.workers.get(profile.lifetime)
        if (
            known is not None
            and known.process == report.process
            and report.sequence <= known.sequence
        ):
            return
        lists = WorkerLists(
            profile,
            report.agent,
            report.process,
            report.sequence,
            report.running,
            now - report.silence,
            now,
        )
        if not report.list_fence:
            # The agent has not read the lists under the latest fencing token.
            lists.running = known.running if known is not None else ()
            lists.listed_at = known.listed_at if known is not None else now
        former = known.accepted if known is not None else {}
        lists.accepted = {run: former.get(run, now) for run in report.accepted}
        if known is not None:
            lists.last_end_serial = known.last_end_serial
        for row in report.ended:
            # A short run may begin and end between two lists.
            if row.serial > lists.last_end_serial:
                lists.last_end_serial = row.serial
                self.last_listed[row.run.item.job] = now
        self.workers[profile.lifetime] = lists

    def find_running_jobs(self, now: float, max_age: float) -> set[str]:
        """Return the ids of the jobs of which a run was listed lately.

        :param max_age: age of a list in seconds up to which it counts.
        """
        running: set[str] = set()
        for lifetime, lists in list(self.workers.items()):
            if now - lists.reported_at > RETENTION_S:
                del self.workers[lifetime]
                continue
            listed_jobs = {row.run.item.job for row in lists.running}
            for job_id in listed_jobs:
                last_listed = self.last_listed.get(job_id, 0.0)
                self.last_listed[job_id] = max(last_listed, lists.listed_at)
            if now - lists.listed_at <= max_age:
                running |= listed_jobs
            running.update(run.item.job for run in lists.list_accepted(now))
        return running

    def forget_jobs(self, kept: set[str]) -> None:
        """Forget all jobs but the given ones."""
        for job_id in self.last_listed.keys() - kept:
            del self.last_listed[job_id]


class ListedRoom:
    """Free capacity of the workers by their own lists, at one moment.

    :param now: steady time in seconds.
    :param find_reservation: returns the capacity that a run takes.
    """

    __slots__ = ('_free', '_has_room', '_largest', '_used_shares')

    def __init__(
        self,
        now: float,
        listed: ListedRuns,
        find_reservation: FindReservation,
    ) -> None:
        self._free: dict[str, list[tuple[WorkerLists, work.Resources]]] = {}
        self._largest: dict[str, work.Resources] = {}
        self._used_shares: dict[str, float] = {}
        self._has_room: dict[tuple[str, str, work.Resources, int], bool] = {}
        capacities: dict[str, int] = {}
        free_capacities: dict[str, int] = {}
        for lists in listed.workers.values():
            profile = lists.profile
            if profile.draining:
                continue
            free = profile.capacity
            runs = [row.run for row in lists.running]
            runs.extend(lists.list_accepted(now))
            for run in runs:
                reservation = find_reservation(run)
                if reservation is not None:
                    free = free.minus(reservation)
            service = profile.service
            self._free.setdefault(service, []).append((lists, free))
            self._largest[service] = combine_largest(
                self._largest.get(service, free), free
            )
            capacities[service] = capacities.get(
                service, 0
            ) + idle_limit.count_core_equivalents(profile.capacity)
            free_capacities[service] = free_capacities.get(
                service, 0
            ) + idle_limit.count_core_equivalents(free)
        for service, capacity in capacities.items():
            used = capacity - free_capacities[service]
            self._used_shares[service] = used / max(capacity, 1)

    def get_used_share(self, service: str) -> float:
        """Return the share of a service that listed runs use; 1 without it."""
        return self._used_shares.get(service, 1.0)

    def has_ample_room(self, due: due_steps.DueStep) -> bool | None:
        """Return whether the next unit of a step finds room twice over.

        :returns: ``None`` if there were too many other searches.
        """
        step = due.step
        demand = step.get_reservation()
        largest = self._largest.get(due.service)
        if largest is None or not largest.can_fit(demand):
            return False
        needed = idle_limit.ROOM_FACTOR * due.count_together()
        key = (due.service, step.label, demand, needed)
        known = self._has_room.get(key)
        if known is None and len(self._has_room) < MAX_SEARCHES:
            known = self._search(due.service, step.label, demand, needed)
            self._has_room[key] = known
        return known

    def _search(
        self, service: str, label: str, demand: work.Resources, needed: int
    ) -> bool:
        """Return whether so many work items find room."""
        for lists, free in self._free[service]:
            if label and label not in lists.profile.labels:
                continue
            needed -= max(work.count_fits(free, demand), 0)
            if needed <= 0:
                return True
        return False

    def list_workers(self, due: due_steps.DueStep) -> list[WorkerRoom]:
        """Return the workers with room for one work item of a step."""
        step = due.step
        demand = step.get_reservation()
        return [
            WorkerRoom(lists.profile.lifetime, free, lists.running)
            for lists, free in self._free.get(due.service, ())
            if free.can_fit(demand)
            and (not step.label or step.label in lists.profile.labels)
        ]


def combine_largest(
    first: work.Resources, second: work.Resources
) -> work.Resources:
    """Return the larger amount of each resource."""
    return work.Resources(
        max(first.cpu, second.cpu),
        max(first.memory, second.memory),
        max(first.accelerators, second.accelerators),
    )
