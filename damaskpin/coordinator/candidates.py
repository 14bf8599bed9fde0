"""Candidate workers for the work items of one unit, the best first."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from damaskpin.coordinator import crashes
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import tentative_plan
    from damaskpin.coordinator import worker_state


# Number of runs from which a worker gets no more work. Reports repeat all runs
# and have to cross the slowest link between two regions within the timeout of
# a call. Work of the highest priority, which may be owed to its account, is
# not held back.
MAX_WORKER_RUNS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that could run one work item.

    :ivar capacity_option: how the worker obtains the capacity.
    :ivar fits: number of the unit's work items that fit on the worker now; at
        least 1, as ``capacity_option`` makes room for one.
    :ivar unused_share: sum of the shares of processor, memory and
        accelerators that stay free on the worker.
    """

    worker: worker_state.Worker
    capacity_option: tentative_plan.CapacityOption
    fits: int
    unused_share: float


class CandidateQueue:
    """Priority queue of candidate workers for the work items of a unit.

    A gang is kept on few workers, because the loss of one ends all of it.
    Other work items go where they fit most tightly.

    All work items of a unit have equal demands, and a candidate changes only
    when the plan changes on its worker. Each work item therefore costs one
    new candidate instead of an evaluation of all workers.

    :param unit: unit whose work items are placed.
    :param group: workers that may be used.
    :param allocation: tentative plan of the unit, which tells the capacity
        that is left on each worker.
    :param isolates_suspects: whether a worker is left out if a crash after
        the start could not be attributed; such a worker is avoided otherwise.
    """

    __slots__ = (
        '_allocation',
        '_avoided_workers',
        '_candidate_versions',
        '_chosen_counts',
        '_heap',
        '_is_suspect',
        '_isolates_suspects',
        '_items_left',
        '_positions',
        '_prefers_trusted',
        '_unit',
    )

    def __init__(
        self,
        unit: jobs.Unit,
        group: list[worker_state.Worker],
        allocation: tentative_plan.TentativePlan,
        isolates_suspects: bool,
    ) -> None:
        self._unit = unit
        self._allocation = allocation
        self._isolates_suspects = isolates_suspects
        self._positions = {
            worker.lifetime: position for position, worker in enumerate(group)
        }
        self._avoided_workers = unit.job.avoided_workers.get(
            unit.get_key()[1:], ()
        )
        self._is_suspect = unit.is_suspect()
        self._prefers_trusted = unit.is_last_attempt()
        self._chosen_counts: dict[work.Lifetime, int] = {}
        self._items_left = len(unit.indexes)
        self._candidate_versions = [0] * len(group)
        # Each entry is a tuple that sorts the best candidate first: whether
        # the unit should avoid the worker, cost of the capacity, preference of
        # a gang for the worker, share of the worker that stays free, position
        # of the worker in the group, version of the worker's candidate, and
        # the candidate. A candidate with an older version than the worker's
        # latest is outdated.
        self._heap: list[
            tuple[bool, float, int, float, int, int, Candidate]
        ] = []
        for position, worker in enumerate(group):
            self._push(position, worker)
        heapq.heapify(self._heap)

    def pop_best(self) -> Candidate | None:
        """Remove and return the best candidate.

        One more work item counts towards the step's limit on the candidate's
        worker.
        """
        while self._heap:
            entry = heapq.heappop(self._heap)
            *_, position, version, candidate = entry
            if version != self._candidate_versions[position]:
                continue
            preference = self._get_gang_preference(candidate)
            if preference != entry[2]:
                # Fewer members are left than when the entry was made, so that
                # it may have come too early.
                heapq.heappush(
                    self._heap, (*entry[:2], preference, *entry[3:])
                )
                continue
            self._items_left -= 1
            lifetime = candidate.worker.lifetime
            self._chosen_counts[lifetime] = (
                self._chosen_counts.get(lifetime, 0) + 1
            )
            return candidate
        return None

    def refresh(self, worker: worker_state.Worker) -> None:
        """Replace the candidate of a worker on which the plan has changed."""
        position = self._positions.get(worker.lifetime)
        if position is None:
            return
        self._candidate_versions[position] += 1
        old_size = len(self._heap)
        self._push(position, worker)
        if len(self._heap) > old_size:
            heapq.heappush(self._heap, self._heap.pop())

    def _is_avoided(self, worker: worker_state.Worker) -> bool:
        """Return whether other workers than this one are preferred."""
        if (
            worker.has_failed_since_success()
            or worker.start_pause.is_unproven()
            or worker.lifetime.worker in self._avoided_workers
        ):
            return True
        if not self._may_share(worker):
            return True
        if self._is_suspect and worker.runs:
            # Another crash would end these runs, too.
            return True
        return self._prefers_trusted and not worker.is_trusted(
            self._allocation.now
        )

    def _may_share(self, worker: worker_state.Worker) -> bool:
        return crashes.may_share_worker(
            self._allocation.now, self._is_suspect, worker
        )

    def _get_gang_preference(self, candidate: Candidate) -> int:
        """Return the sort key by which a gang prefers a worker.

        Smaller keys are better: a worker that already runs a member comes
        first, then the one that can run most of the members that are left.
        """
        if not self._unit.step.gang:
            return 0
        if candidate.worker.lifetime in self._chosen_counts:
            return -len(self._unit.indexes)
        return -min(candidate.fits, self._items_left)

    def _push(self, position: int, worker: worker_state.Worker) -> None:
        unit = self._unit
        if not may_run_another_item(unit, worker, self._chosen_counts):
            return
        if self._isolates_suspects and not self._may_share(worker):
            return
        demand = unit.step.get_reservation()
        option = self._allocation.find_capacity(worker, demand)
        if option is None:
            return
        free = self._allocation.get_free(worker)
        unused_share = measure_unused_share(worker, free, demand)
        fits = max(work.count_fits(free, demand), 1)
        candidate = Candidate(worker, option, fits, unused_share)
        self._heap.append(
            (
                self._is_avoided(worker),
                option.cost,
                self._get_gang_preference(candidate),
                unused_share,
                position,
                self._candidate_versions[position],
                candidate,
            )
        )


def may_run_another_item(
    unit: jobs.Unit,
    worker: worker_state.Worker,
    chosen_counts: dict[work.Lifetime, int],
) -> bool:
    """Return whether one more work item of the step may run on a worker."""
    if not protects_latency_targets(unit.step, worker):
        return False
    chosen = chosen_counts.get(worker.lifetime, 0)
    if (
        len(worker.runs) + chosen >= MAX_WORKER_RUNS
        and unit.job.submission.terms.priority
    ):
        return False
    limit = unit.step.per_worker
    if not limit:
        return True
    used = worker.count_step_runs(
        unit.job.id, unit.occurrence, unit.step_index
    )
    return used + chosen < limit


def protects_latency_targets(
    step: work.Step, worker: worker_state.Worker
) -> bool:
    """Return whether a step can share a worker without missed latency targets.

    Steps that fill unused capacity increase the tail latency of steps that
    serve users, so the two kinds never share a worker.
    """
    if not step.fills and not step.latency_target:
        return True
    for placed in worker.runs.values():
        if step.fills and placed.step.latency_target:
            return False
        if step.latency_target and placed.step.fills:
            return False
    return True


def measure_unused_share(
    worker: worker_state.Worker, free: work.Resources, demand: work.Resources
) -> float:
    """Return the share of a worker that stays free with a work item.

    The value is the sum of the shares of processor, memory and accelerators;
    a smaller value is a tighter fit.
    """
    if worker.profile is None:
        return 1.0
    capacity = worker.profile.capacity
    left = free.minus(demand)
    share = left.cpu / max(capacity.cpu, 1)
    share += left.memory / max(capacity.memory, 1)
    share += left.accelerators / max(capacity.accelerators, 1)
    return share
