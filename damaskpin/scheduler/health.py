"""Detects workers on which jobs fail that succeed on other workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from damaskpin.scheduler import topology as topologies

# A worker is suspect if MIN_FAILURES different jobs failed on it in a row and at
# least MIN_CONFIRMED of them succeeded on other workers. A faulty job fails on
# every worker, so its failures alone do not make a worker suspect.
MIN_FAILURES = 3
MIN_CONFIRMED = 2

# Largest share of all workers, and largest number of workers of a rack, that
# may be in quarantine at once.
MAX_SHARE = 0.1
MAX_PER_RACK = 1

# Time from the start of a quarantine to the first probe. It doubles with each
# failed probe up to the maximum.
PROBE_SECONDS = 60.0
MAX_PROBE_SECONDS = 3600.0

# Number of failed jobs that are remembered in total and for each worker. The
# oldest are dropped first.
MAX_JOBS = 4096
MAX_FAILURES_KEPT = 16


@dataclasses.dataclass(slots=True)
class _Record:
    """Failures on a worker, and its quarantine.

    :ivar failures: ids of the jobs that failed on the worker since a job last
        succeeded there, with whether the job succeeded on another worker.
    :ivar probe_at: time of the next probe while the worker is quarantined.
    :ivar backoff: seconds between the start of the quarantine or the last
        failed probe and the next probe; 0 without a quarantine.
    """

    failures: dict[str, bool] = dataclasses.field(default_factory=dict)
    probe_at: float = 0.0
    backoff: float = 0.0


class Health:
    """Selects the workers to quarantine and the times to probe them."""

    __slots__ = ('_jobs', '_records', '_topology')

    def __init__(self, topology: topologies.Topology) -> None:
        self._topology = topology
        self._records: dict[str, _Record] = {}
        # Names of the workers on which a job failed, by job id.
        self._jobs: dict[str, list[str]] = {}

    def note_success(self, job_id: str, workers: Collection[str]) -> list[str]:
        """Record that a job succeeded on workers.

        :returns: names of the workers whose quarantine ends.
        """
        cleared = []
        for name in workers:
            record = self._records.pop(name, None)
            if record is not None and record.backoff:
                cleared.append(name)
        for name in self._jobs.pop(job_id, ()):
            record = self._records.get(name)
            if record is not None and job_id in record.failures:
                record.failures[job_id] = True
        return cleared

    def note_failure(
        self, now: float, job_id: str, workers: Collection[str]
    ) -> list[str]:
        """Record that a job failed on workers.

        :returns: names of the quarantined workers whose next probe is delayed.
        """
        again = []
        for name in workers:
            record = self._records.setdefault(name, _Record())
            record.failures.setdefault(job_id, False)
            if len(record.failures) > MAX_FAILURES_KEPT:
                del record.failures[next(iter(record.failures))]
            known = self._jobs.setdefault(job_id, [])
            if name not in known:
                known.append(name)
            if record.backoff:
                record.backoff = min(record.backoff * 2, MAX_PROBE_SECONDS)
                record.probe_at = now + record.backoff
                again.append(name)
        while len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return again

    def find_suspects(self) -> list[topologies.Node]:
        """Return the suspect workers that the limits allow to quarantine."""
        nodes = self._topology.nodes
        suspects = []
        allowed = int(len(nodes) * MAX_SHARE) - sum(
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
            if sum(record.failures.values()) < MIN_CONFIRMED:
                continue
            node = nodes.get(name)
            if node is None or not node.alive or allowed <= 0:
                continue
            if racks.get(node.rack, 0) >= MAX_PER_RACK:
                continue
            racks[node.rack] = racks.get(node.rack, 0) + 1
            allowed -= 1
            suspects.append(node)
        return suspects

    def quarantine(self, now: float, name: str) -> None:
        """Start the quarantine of a worker and schedule its first probe."""
        record = self._records[name]
        record.backoff = PROBE_SECONDS
        record.probe_at = now + record.backoff

    def forgive(self, name: str) -> None:
        """Delete the recorded failures and the quarantine of a worker."""
        self._records.pop(name, None)

    def get_quarantined(self) -> list[str]:
        """Return the names of the quarantined workers."""
        return [name for name, r in self._records.items() if r.backoff]

    def find_due_probes(self, now: float) -> list[topologies.Node]:
        """Return the quarantined workers whose probe is due."""
        found = []
        for name, record in self._records.items():
            if not self._is_waiting(name):
                continue
            if record.backoff and record.probe_at <= now:
                found.append(self._topology.nodes[name])
        return found

    def get_next_probe(self) -> float | None:
        """Return the time of the next probe of a quarantined worker."""
        return min(
            (
                record.probe_at
                for name, record in self._records.items()
                if record.backoff and self._is_waiting(name)
            ),
            default=None,
        )

    def _is_waiting(self, name: str) -> bool:
        """Return whether a quarantined worker waits for its next probe."""
        node = self._topology.nodes.get(name)
        return node is not None and node.quarantined and not node.probing
