"""Takes failing workers out of service and probes them later."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import decisions
from damaskpin.scheduler import health

if TYPE_CHECKING:
    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import queue as queues

# Period in which a job avoids the workers on which it failed, if other workers
# are free.
FAILURE_AVOIDANCE_SECONDS = 300.0

# Maximum number of instances of guaranteed shapes rebound when one suspect
# worker is quarantined.
MAX_BINDINGS = 64


class Quarantine:
    """Quarantines workers in the ledger according to their failures."""

    __slots__ = ('_health', '_ledger')

    def __init__(self, ledger: ledgers.Ledger) -> None:
        self._ledger = ledger
        self._health = health.Health(ledger.topology)

    def get_next_probe(self) -> float | None:
        """Return the time of the next probe of a quarantined worker."""
        return self._health.get_next_probe()

    def record_outcome(
        self, now: float, entry: queues.JobEntry, outcome: decisions.Outcome
    ) -> None:
        """Record whether the workers of an ended job succeeded or failed."""
        names = [name for name, _ in entry.members]
        if outcome.result is decisions.Result.SUCCEEDED:
            for name in self._health.record_success(entry.job.id, names):
                self._set_quarantined(name, False)
            return
        if outcome.result is not decisions.Result.FAILED:
            names = []
        elif len(names) > 1:
            # It is unknown on which member of the gang the failure occurred.
            names = []
        blamed = outcome.failed_workers or names
        for name in blamed:
            entry.avoided_workers[name] = now + FAILURE_AVOIDANCE_SECONDS
        for name in self._health.record_failure(now, entry.job.id, blamed):
            self._set_quarantined(name, True)

    def update(self, now: float) -> None:
        """Quarantine suspect workers and start the probes that are due."""
        topology = self._ledger.topology
        for node in self._health.find_due_probes(now):
            topology.start_probe(node)
            self._ledger.bindings.change_count += 1
        for node in self._health.find_suspects():
            unmet = sum(self._ledger.bindings.get_unmet().values())
            self._set_quarantined(node.name, True)
            self._health.start_quarantine(now, node.name)
            self._ledger.bindings.bind_pending(MAX_BINDINGS)
            if sum(self._ledger.bindings.get_unmet().values()) > unmet:
                # Guarantees take precedence: a suspect worker that a guarantee
                # needs stays in service.
                self._health.clear_failures(node.name)
                self._set_quarantined(node.name, False)

    def end_if_guarantees_unmet(self) -> None:
        """End all quarantines if any guarantee can't be met."""
        names = self._health.get_quarantined()
        if not names or not self._ledger.bindings.get_unmet():
            return
        for name in names:
            self._health.clear_failures(name)
            self._set_quarantined(name, False)

    def _set_quarantined(self, name: str, quarantined: bool) -> None:
        node = self._ledger.topology.nodes.get(name)
        if node is None:
            return
        self._ledger.topology.set_quarantined(node, quarantined)
        self._ledger.handle_worker_change(node)
