"""Error-budget burn rates of service-level objectives by client account."""

from __future__ import annotations

import array
import enum

import msgspec

SECONDS_PER_MINUTE = 60.0
MINUTES_PER_HOUR = 60
RETAINED_MINUTES = 3 * 24 * MINUTES_PER_HOUR
RETAINED_HOURS = RETAINED_MINUTES // MINUTES_PER_HOUR

# 64 accounts with 4 objectives need 64 * 4 * 4320 * 8 bytes = 8.8 MB.
MAX_ACCOUNTS = 64
OTHER_ACCOUNTS_LABEL = '(other)'
FLEET_LABEL = '(fleet)'

URGENT_START_LIMIT_SECONDS = 7.6
CONFIG_IN_FORCE_LIMIT_SECONDS = 9.0

_MAX_EVENT_COUNT = 2**32 - 1


class Objective(enum.StrEnum):
    """Service-level objectives.

    The code that records an event decides whether the objective was met.
    """

    URGENT_START = 'urgent-start'
    CONFIG_IN_FORCE = 'config-in-force'
    COMPLETION_TIME = 'completion-time'
    TRUTHFUL_VERDICT = 'truthful-verdict'


# Share of events that must be good. Urgent jobs may start late when several
# workers fail at once. An untruthful verdict is never acceptable, so one in
# 10,000 uses up the whole error budget.
DEFAULT_TARGETS = {
    Objective.URGENT_START: 0.999,
    Objective.CONFIG_IN_FORCE: 0.999,
    Objective.COMPLETION_TIME: 0.99,
    Objective.TRUTHFUL_VERDICT: 0.9999,
}


class Severity(enum.StrEnum):
    """Urgency of an alert for operators."""

    PAGE = 'page'
    TICKET = 'ticket'


class AlertRule(msgspec.Struct, frozen=True):
    """Rule that fires while two windows have at least a given burn rate.

    The long window ensures that a significant share of the error budget was
    used. The short window ends the alert soon after its cause has ended.

    :ivar threshold: burn rate from which the rule fires; a rate of 1 uses up
        the error budget exactly at the end of its period.
    """

    long_minutes: int
    short_minutes: int
    threshold: float
    severity: Severity


ALERT_RULES = (
    AlertRule(60, 5, 14.4, Severity.PAGE),
    AlertRule(6 * 60, 30, 6.0, Severity.PAGE),
    AlertRule(RETAINED_MINUTES, 6 * 60, 1.0, Severity.TICKET),
)
WINDOW_MINUTES = tuple(
    sorted(
        {
            minutes
            for rule in ALERT_RULES
            for minutes in (rule.short_minutes, rule.long_minutes)
        }
    )
)


class EventCounts(msgspec.Struct, frozen=True):
    """Number of good and bad events in a time window."""

    good: int
    bad: int


class EventSeries(msgspec.Struct, frozen=True):
    """Event counts of one objective and account.

    The counts of several processes can be added up.

    :ivar windows: counts of each time window, by its length in minutes.
    :ivar hours: counts of each past hour, the latest hour first.
    """

    objective: Objective
    account: str
    windows: dict[int, EventCounts]
    hours: list[EventCounts]


class Alert(msgspec.Struct, frozen=True):
    """Alert rule that fires.

    :ivar long_rate: burn rate of the long window.
    :ivar short_rate: burn rate of the short window.
    """

    rule: AlertRule
    long_rate: float
    short_rate: float


class BurnRateRow(msgspec.Struct, frozen=True):
    """Burn rates of one objective and account.

    :ivar target: share of events that must be good.
    :ivar rates: burn rate of each window, by its length in minutes; ``None``
        for a window without events.
    :ivar alerts: alerts that fire.
    """

    series: EventSeries
    target: float
    rates: dict[int, float | None]
    alerts: list[Alert]


class BurnCounters:
    """Counters of good and bad events in this process."""

    def __init__(self) -> None:
        self._counters_by_series: dict[
            tuple[Objective, str], _MinuteCounters
        ] = {}
        self._account_labels: set[str] = set()

    def record(
        self, now: float, objective: Objective, account: str, good: bool
    ) -> None:
        """Count one good or bad event of an objective.

        Accounts above the limit are counted together as ``(other)``.

        :param now: monotonic seconds.
        :param account: client account; empty for the whole fleet.
        :param good: whether the objective was met.
        """
        label = account or FLEET_LABEL
        if label not in self._account_labels:
            # One label is reserved for the accounts that are counted together.
            if len(self._account_labels) >= MAX_ACCOUNTS - 1:
                label = OTHER_ACCOUNTS_LABEL
            self._account_labels.add(label)
        minute_counters = self._counters_by_series.get((objective, label))
        if minute_counters is None:
            minute_counters = self._counters_by_series[(objective, label)] = (
                _MinuteCounters()
            )
        minute_counters.add(int(now // SECONDS_PER_MINUTE), good)

    def collect(self, now: float) -> list[EventSeries]:
        """Return the event counts of all windows, by objective and account.

        A window ends with the current minute, which is not complete yet.

        :param now: monotonic seconds.
        """
        minute = int(now // SECONDS_PER_MINUTE)
        return [
            EventSeries(
                objective,
                account,
                {
                    minutes: minute_counters.sum_window(minute, 0, minutes)
                    for minutes in WINDOW_MINUTES
                },
                [
                    minute_counters.sum_window(
                        minute, hour * MINUTES_PER_HOUR, MINUTES_PER_HOUR
                    )
                    for hour in range(RETAINED_HOURS)
                ],
            )
            for (objective, account), minute_counters in sorted(
                self._counters_by_series.items()
            )
        ]


class _MinuteCounters:
    """Event counts of each of the last minutes, in a ring buffer."""

    __slots__ = ('_bad', '_good', '_latest_minute')

    def __init__(self) -> None:
        self._good = array.array('I', bytes(4 * RETAINED_MINUTES))
        self._bad = array.array('I', bytes(4 * RETAINED_MINUTES))
        self._latest_minute: int | None = None

    def add(self, minute: int, good: bool) -> None:
        if self._latest_minute is None:
            self._latest_minute = minute
        self._clear_elapsed_minutes(minute)
        if minute <= self._latest_minute - RETAINED_MINUTES:
            return
        counts = self._good if good else self._bad
        ring_index = minute % RETAINED_MINUTES
        counts[ring_index] = min(counts[ring_index] + 1, _MAX_EVENT_COUNT)

    def sum_window(self, minute: int, age: int, length: int) -> EventCounts:
        """Add up the event counts of a time window.

        :param minute: current minute.
        :param age: minutes between the end of the window and the current
            minute.
        :param length: length of the window in minutes.
        """
        self._clear_elapsed_minutes(minute)
        last_minute = minute - age
        first_minute = max(last_minute - length, minute - RETAINED_MINUTES) + 1
        start = first_minute % RETAINED_MINUTES
        end = start + last_minute + 1 - first_minute
        return EventCounts(
            _sum_ring(self._good, start, end), _sum_ring(self._bad, start, end)
        )

    def _clear_elapsed_minutes(self, minute: int) -> None:
        """Reset the counts of minutes that passed since the latest one."""
        if self._latest_minute is None or minute <= self._latest_minute:
            return
        elapsed = min(minute - self._latest_minute, RETAINED_MINUTES)
        for cleared_minute in range(minute - elapsed + 1, minute + 1):
            ring_index = cleared_minute % RETAINED_MINUTES
            self._good[ring_index] = self._bad[ring_index] = 0
        self._latest_minute = minute


def merge_processes(
    series_by_process: list[list[EventSeries]],
) -> list[EventSeries]:
    """Add up the event counts of several processes.

    :param series_by_process: results of :meth:`BurnCounters.collect` in each
        process, collected at about the same time.
    """
    merged_series: dict[tuple[Objective, str], EventSeries] = {}
    for series in (
        item for process_series in series_by_process for item in process_series
    ):
        key = (series.objective, series.account)
        previous = merged_series.get(key)
        if previous is None:
            merged_series[key] = series
            continue
        merged_series[key] = EventSeries(
            series.objective,
            series.account,
            {
                minutes: _add_counts(previous.windows[minutes], counts)
                for minutes, counts in series.windows.items()
            },
            [
                _add_counts(old, new)
                for old, new in zip(previous.hours, series.hours, strict=True)
            ],
        )
    return [merged_series[key] for key in sorted(merged_series)]


def compute_burn_rates(
    event_series: list[EventSeries],
    targets: dict[Objective, float] | None = None,
) -> list[BurnRateRow]:
    """Compute burn rates and find the alerts that fire.

    :param event_series: event counts of one process, or the sums of several.
    :param targets: shares of events that must be good, each below 1, for
        objectives that do not use the default.
    """
    target_by_objective = DEFAULT_TARGETS | (targets or {})
    for objective, target in target_by_objective.items():
        if not 0 <= target < 1:
            raise ValueError(
                f'target of {objective} is {target}; it must be in [0, 1)'
            )
    rows = []
    for series in event_series:
        target = target_by_objective[series.objective]
        rates = {
            minutes: compute_burn_rate(counts, target)
            for minutes, counts in series.windows.items()
        }
        rows.append(BurnRateRow(series, target, rates, _find_alerts(rates)))
    return rows


def compute_burn_rate(counts: EventCounts, target: float) -> float | None:
    """Divide the share of bad events by the share that the target allows.

    :returns: burn rate; ``None`` without events.
    """
    total = counts.good + counts.bad
    if not total:
        return None
    return counts.bad / total / (1.0 - target)


def _find_alerts(rates: dict[int, float | None]) -> list[Alert]:
    alerts = []
    for rule in ALERT_RULES:
        long_rate = rates[rule.long_minutes]
        short_rate = rates[rule.short_minutes]
        if long_rate is None or short_rate is None:
            continue
        # The tolerance makes the rule fire for a burn rate that equals the
        # threshold except for rounding errors.
        rate_limit = rule.threshold * (1 - 1e-9)
        if long_rate >= rate_limit and short_rate >= rate_limit:
            alerts.append(Alert(rule, long_rate, short_rate))
    return alerts


def _sum_ring(counts: array.array, start: int, end: int) -> int:
    """Add up counts of a ring buffer; wrap around if ``end`` exceeds it."""
    total = sum(counts[start:end])
    return total + sum(counts[: max(0, end - RETAINED_MINUTES)])


def _add_counts(first: EventCounts, second: EventCounts) -> EventCounts:
    return EventCounts(first.good + second.good, first.bad + second.bad)
