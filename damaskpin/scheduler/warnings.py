"""Generates warnings about guarantees that can't be met."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import decisions

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.scheduler import ledger as ledgers

# Time after the first report of a worker in which an unmet guarantee is not a
# failure, because the other workers have not reported yet. The longest report
# interval is 12 s.
SETTLE_SECONDS = 30.0


class Warnings:
    """Returns a warning once for each change of an unmet guarantee."""

    __slots__ = (
        '_expected',
        '_first_worker',
        '_reported',
        '_seen_changes',
        '_settled',
    )

    def __init__(self, config: configs.Config) -> None:
        self._reported: dict[tuple[str, str], decisions.Warn] = {}
        self._first_worker: float | None = None
        self._settled = False
        self._seen_changes = -1
        self._expected: dict[str, int] = {}
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        """Replace the numbers of workers configured for each region."""
        self._expected = {}
        for rack in config.racks:
            known = self._expected.get(rack.region, 0)
            self._expected[rack.region] = known + rack.workers

    def note_worker(self, now: float) -> None:
        """Record the time of the first report of any worker."""
        if self._first_worker is None:
            self._first_worker = now

    def get_next_check(self) -> float | None:
        """Return the end of the start-up period, ``None`` after it."""
        if self._settled or self._first_worker is None:
            return None
        return self._first_worker + SETTLE_SECONDS

    def update(
        self, now: float, ledger: ledgers.Ledger
    ) -> list[decisions.Warn]:
        """Return the warnings that have not been returned yet."""
        check = self.get_next_check()
        if check is not None and now >= check:
            self._settled = True
            self._seen_changes = -1
        if self._seen_changes == ledger.bindings.changes:
            return []
        self._seen_changes = ledger.bindings.changes
        found = []
        unmet = ledger.bindings.get_unmet()
        current = {}
        for key, count in unmet.items():
            warn = self._make_warn(key, count, ledger)
            if warn is not None:
                current[key] = warn
        for key, warn in current.items():
            if self._reported.get(key) != warn:
                found.append(warn)
        for key in self._reported:
            if key not in unmet:
                found.append(decisions.Warn(key[0], key[1], (), 0, 0))
        self._reported = current
        return found

    def _make_warn(
        self, key: tuple[str, str], count: int, ledger: ledgers.Ledger
    ) -> decisions.Warn | None:
        shape = ledger.bindings.get_shape(key)
        nodes = [
            node
            for node in ledger.topology.nodes.values()
            if node.worker.region == shape.region
            and shape.data_centre in (None, node.worker.data_centre)
        ]
        if not nodes and not any(
            n.worker.region == shape.region
            for n in ledger.topology.nodes.values()
        ):
            # The coordinator of another region reports this shape.
            return None
        failed = tuple(node.name for node in nodes if not node.is_usable())
        expected = self._expected.get(shape.region, 0)
        known = sum(
            1
            for node in ledger.topology.nodes.values()
            if node.worker.region == shape.region
        )
        missing = max(0, expected - known)
        if not failed and not self._settled:
            return None
        return decisions.Warn(key[0], key[1], failed, missing, count)
