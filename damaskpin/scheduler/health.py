"""Detects workers on which jobs fail that succeed on other workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from damaskpin.scheduler import topology as topologies

# A worker is suspect if MIN_FAILURES different jobs failed on it in a row and
# at least MIN_SUCCEEDED_ELSEWHERE of them succeeded on other workers. A faulty
# job fails on every worker, so its failures are no evidence against a worker.
MIN_FAILURES = 3
MIN_SUCCEEDED_ELSEWHERE = 2

# Largest share of all workers, and largest number of workers of a rack, that
# may be in quarantine at once.
MAX_QUARANTINED_SHARE = 0.1
MAX_QUARANTINED_PER_RACK = 1

# Time from the start of a quarantine to the first probe. It doubles with each
# failed probe up to the maximum.
PROBE_SECONDS = 60.0
MAX_PROBE_SECONDS = 3600.0

# Number of failed jobs that are remembered in total and for each worker. The
# oldest are dropped first.
MAX_REMEMBERED_JOBS = 4096
MAX_REMEMBERED_FAILURES = 16


@dataclasses.dataclass(slots=True)
class _WorkerRecord:
    """Failures on a worker, and its quarantine.

    :ivar failures: ids of the jobs that failed on the worker since a job last
        succeeded on it, with whether the job succeeded on another worker.
    :ivar probe_at: time of the next probe while the worker is quarantined.
    :ivar backoff: seconds between the start of the quarantine or the last
        failed probe and the next probe; 0 without a quarantine.
    """

    failures: dict[str, bool] = dataclasses.field(default_factory=dict)
    probe_at: float = 0.0
    backoff: float = 0.0


class Health:
    """Selects the workers to quarantine and the times to probe them."""

    __slots__ = ('_records', '_topology', '_workers_by_failed_job')

    def __init__(self, topology: topologies.Topology) -> None:
        self._topology = topology
        self._records: dict[str, _WorkerRecord] = {}
        # Names of the workers on which a job failed, by job id.
        self._workers_by_failed_job: dict[str, list[str]] = {}

    def record_success(
        self, job_id: str, workers: Collection[str]
    ) -> list[str]:
        """Record that a job succeeded on workers.

        :returns: names of the workers whose quarantine ends.
        """
        cleared = []
        for name in workers:
            record = self._records.pop(name, None)
            if record is not None and record.backoff:
                cleared.append(name)
        for name in self._workers_by_failed_job.pop(job_id, ()):
            record = self._records.get(name)
            if record is not None and job_id in record.failures:
                record.failures[job_id] = True
        return cleared

    def record_failure(
        self, now: float, job_id: str, workers: Collection[str]
    ) -> list[str]:
        """Record that a job failed on workers.

        :returns: names of the quarantined workers whose next probe is delayed.
        """
        delayed = []
        for name in workers:
            record = self._records.setdefault(name, _WorkerRecord())
            record.failures.setdefault(job_id, False)
            if len(record.failures) > MAX_REMEMBERED_FAILURES:
                del record.failures[next(iter(record.failures))]
            known_workers = self._workers_by_failed_job.setdefault(job_id, [])
            if name not in known_workers:
                known_workers.append(name)
            if record.backoff:
                record.backoff = min(record.backoff * 2, MAX_PROBE_SECONDS)
                record.probe_at = now + record.backoff
                delayed.append(name)
        while len(self._workers_by_failed_job) > MAX_REMEMBERED_JOBS:
            del self._workers_by_failed_job[
                next(iter(self._workers_by_failed_job))
            ]
        return delayed

    def find_suspects(self) -> list[topologies.Node]:
        """Return the suspect workers that the limits allow to quarantine."""
        nodes = self._topology.nodes
        suspects = []
        allowed = int(len(nodes) * MAX_QUARANTINED_SHARE) - sum(
            1 for record in self._records.values() if record.backoff
        )
        racks = {
            nodes[name].rack: 1
            for name, record in self._records.items()
            if record.backoff and name in nodes
        }
        for name, record in self._records.items():
            if record.backoff or len(record.failures) < MIN_FAILURES:
                continue
            if sum(record.failures.values()) < MIN_SUCCEEDED_ELSEWHERE:
                continue
            node = nodes.get(name)
            if node is None or not node.alive or allowed <= 0:
                continue
            if racks.get(node.rack, 0) >= MAX_QUARANTINED_PER_RACK:
                continue
            racks[node.rack] = racks.get(node.rack, 0) + 1
            allowed -= 1
            suspects.append(node)
        return suspects

    def start_quarantine(self, now: float, name: str) -> None:
        """Start the quarantine of a worker and schedule its first probe."""
        record = self._records[name]
        record.backoff = PROBE_SECONDS
        record.probe_at = now + record.backoff

    def clear_failures(self, name: str) -> None:
        """Delete the recorded failures and the quarantine of a worker."""
        self._records.pop(name, None)

    def get_quarantined(self) -> list[str]:
        """Return the names of the quarantined workers."""
        return [name for name, r in self._records.items() if r.backoff]

    def find_due_probes(self, now: float) -> list[topologies.Node]:
        """Return the quarantined workers whose probe is due."""
        due = []
        for name, record in self._records.items():
            if not self._awaits_probe(name):
                continue
            if record.backoff and record.probe_at <= now:
                due.append(self._topology.nodes[name])
        return due

    def get_next_probe(self) -> float | None:
        """Return the time of the next probe of a quarantined worker."""
        return min(
            (
                record.probe_at
                for name, record in self._records.items()
                if record.backoff and self._awaits_probe(name)
            ),
            default=None,
        )

    def _awaits_probe(self, name: str) -> bool:
        """Return whether a quarantined worker waits for its next probe."""
        node = self._topology.nodes.get(name)
        return node is not None and node.quarantined and not node.probing
