"""Runs that the workers list, apart from the books of the coordinator."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import free_room

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.model import work
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


def find_room(
    now: float, listed: ListedRuns, find_reservation: FindReservation
) -> free_room.FreeRoom:
    """Return the room on the workers by their own lists.

    Draining workers are left out.

    :param now: steady time in seconds.
    :param find_reservation: returns the capacity that a run takes.
    """
    workers = []
    for lists in listed.workers.values():
        if lists.profile.draining:
            continue
        free = lists.profile.capacity
        runs = [row.run for row in lists.running]
        runs.extend(lists.list_accepted(now))
        for run in runs:
            reservation = find_reservation(run)
            if reservation is not None:
                free = free.minus(reservation)
        workers.append(
            free_room.FreeWorker(lists.profile, free, lists.running)
        )
    return free_room.FreeRoom(workers, MAX_SEARCHES)
