"""Generates warnings about guarantees that can't be met."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import decisions

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.scheduler import ledger as ledgers

# Time in seconds after the first report of any worker in which an unmet
# guarantee causes no warning unless a worker has failed, because the other
# workers may not have reported yet. The longest report interval is 12 s.
STARTUP_SECONDS = 30.0


class GuaranteeWarnings:
    """Returns a warning once for each change of an unmet guarantee."""

    __slots__ = (
        '_configured_workers',
        '_current',
        '_first_report_time',
        '_seen_change_count',
        '_startup_over',
    )

    def __init__(self, config: configs.Config) -> None:
        self._current: dict[tuple[str, str], decisions.Warn] = {}
        self._first_report_time: float | None = None
        self._startup_over = False
        self._seen_change_count = -1
        self._configured_workers: dict[str, int] = {}
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        """Replace the numbers of workers configured for each region."""
        self._configured_workers = {}
        for rack in config.racks:
            total = self._configured_workers.get(rack.region, 0)
            self._configured_workers[rack.region] = total + rack.workers

    def record_worker_report(self, now: float) -> None:
        """Record the time of the first report of any worker."""
        if self._first_report_time is None:
            self._first_report_time = now

    def get_startup_end(self) -> float | None:
        """Return the time at which the start-up period ends.

        :returns: ``None`` before the first report of a worker and after the
            start-up period.
        """
        if self._startup_over or self._first_report_time is None:
            return None
        return self._first_report_time + STARTUP_SECONDS

    def update(
        self, now: float, ledger: ledgers.Ledger
    ) -> list[decisions.Warn]:
        """Return the warnings that have not been returned yet."""
        startup_end = self.get_startup_end()
        if startup_end is not None and now >= startup_end:
            self._startup_over = True
            self._seen_change_count = -1
        if self._seen_change_count == ledger.bindings.change_count:
            return []
        self._seen_change_count = ledger.bindings.change_count
        new_warnings = []
        unmet = ledger.bindings.get_unmet()
        current = {}
        for key, count in unmet.items():
            warning = self._make_warning(key, count, ledger)
            if warning is not None:
                current[key] = warning
        for key, warning in current.items():
            if self._current.get(key) != warning:
                new_warnings.append(warning)
        for key in self._current:
            if key not in unmet:
                new_warnings.append(decisions.Warn(key[0], key[1], (), 0, 0))
        self._current = current
        return new_warnings

    def _make_warning(
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
        expected = self._configured_workers.get(shape.region, 0)
        reported = sum(
            1
            for node in ledger.topology.nodes.values()
            if node.worker.region == shape.region
        )
        missing = max(0, expected - reported)
        if not failed and not self._startup_over:
            return None
        return decisions.Warn(key[0], key[1], failed, missing, count)
