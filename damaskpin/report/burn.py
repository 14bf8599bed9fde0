"""Burn rates of the service-level objectives of each client account."""

from __future__ import annotations

import array
import enum

import msgspec

MINUTE_SECONDS = 60.0
HOUR_MINUTES = 60
RETAINED_MINUTES = 3 * 24 * HOUR_MINUTES
RETAINED_HOURS = RETAINED_MINUTES // HOUR_MINUTES

# 64 accounts with 4 objectives take 64 * 4 * 4320 * 8 bytes = 8.8 MB.
MAX_ACCOUNTS = 64
OTHER_ACCOUNTS = '(other)'
FLEET = '(fleet)'

URGENT_START_SECONDS = 7.6
CONFIG_IN_FORCE_SECONDS = 9.0

_MAX_COUNT = 2**32 - 1


class Objective(enum.StrEnum):
    """Service-level objectives; the caller judges each event."""

    URGENT_START = 'urgent-start'
    CONFIG_IN_FORCE = 'config-in-force'
    COMPLETION_TIME = 'completion-time'
    TRUTHFUL_VERDICT = 'truthful-verdict'


# Share of events that must be good. A late start is rare but possible when
# several workers fail at once; an untruthful verdict is never acceptable, so
# a single one in 10,000 exhausts the budget.
TARGETS = {
    Objective.URGENT_START: 0.999,
    Objective.CONFIG_IN_FORCE: 0.999,
    Objective.COMPLETION_TIME: 0.99,
    Objective.TRUTHFUL_VERDICT: 0.9999,
}


class Severity(enum.StrEnum):
    """How soon an operator must act."""

    PAGE = 'page'
    TICKET = 'ticket'


class Rule(msgspec.Struct, frozen=True):
    """An alert fires while both windows burn at the threshold or faster.

    The long window proves that enough budget is gone; the short one ends the
    alert soon after the cause has ended.

    :ivar threshold: burn rate; 1 uses the budget up exactly in its period.
    """

    long_minutes: int
    short_minutes: int
    threshold: float
    severity: Severity


RULES = (
    Rule(60, 5, 14.4, Severity.PAGE),
    Rule(6 * 60, 30, 6.0, Severity.PAGE),
    Rule(RETAINED_MINUTES, 6 * 60, 1.0, Severity.TICKET),
)
WINDOWS = tuple(
    sorted(
        {
            minutes
            for rule in RULES
            for minutes in (rule.short_minutes, rule.long_minutes)
        }
    )
)


class Counts(msgspec.Struct, frozen=True):
    """Good and bad events of a period."""

    good: int
    bad: int


class Series(msgspec.Struct, frozen=True):
    """Counts of an objective and account; they add up over processes.

    :ivar windows: counts of the last minutes, by the number of minutes.
    :ivar hours: counts of each past hour, the latest one first.
    """

    objective: Objective
    account: str
    windows: dict[int, Counts]
    hours: list[Counts]


class Alert(msgspec.Struct, frozen=True):
    """A rule whose two windows burn too fast."""

    rule: Rule
    long_rate: float
    short_rate: float


class Row(msgspec.Struct, frozen=True):
    """Burn rates of an objective and account.

    :ivar rates: burn rate by minutes of the window; ``None`` without events.
    """

    series: Series
    target: float
    rates: dict[int, float | None]
    alerts: list[Alert]


class Burn:
    """Counters of the events of this process."""

    def __init__(self) -> None:
        self._rings: dict[tuple[Objective, str], _Ring] = {}
        self._accounts: set[str] = set()

    def record(
        self, now: float, objective: Objective, account: str, good: bool
    ) -> None:
        """Count an event.

        Accounts beyond the limit are counted together as ``(other)``.

        :param now: monotonic seconds.
        :param account: client account; empty for the whole fleet.
        :param good: whether the objective was met.
        """
        name = account or FLEET
        if name not in self._accounts:
            # One place is kept for the accounts that are counted together.
            if len(self._accounts) >= MAX_ACCOUNTS - 1:
                name = OTHER_ACCOUNTS
            self._accounts.add(name)
        ring = self._rings.get((objective, name))
        if ring is None:
            ring = self._rings[(objective, name)] = _Ring()
        ring.add(int(now // MINUTE_SECONDS), good)

    def collect(self, now: float) -> list[Series]:
        """Return the counts of all windows, by objective and account.

        A window consists of whole minutes and of the current one so far.

        :param now: monotonic seconds.
        """
        minute = int(now // MINUTE_SECONDS)
        return [
            Series(
                objective,
                account,
                {
                    minutes: ring.count(minute, 0, minutes)
                    for minutes in WINDOWS
                },
                [
                    ring.count(minute, hour * HOUR_MINUTES, HOUR_MINUTES)
                    for hour in range(RETAINED_HOURS)
                ],
            )
            for (objective, account), ring in sorted(self._rings.items())
        ]


class _Ring:
    """Counts of the last minutes."""

    __slots__ = ('_bad', '_good', '_last')

    def __init__(self) -> None:
        self._good = array.array('I', bytes(4 * RETAINED_MINUTES))
        self._bad = array.array('I', bytes(4 * RETAINED_MINUTES))
        self._last: int | None = None

    def add(self, minute: int, good: bool) -> None:
        if self._last is None:
            self._last = minute
        self._advance(minute)
        if minute <= self._last - RETAINED_MINUTES:
            return
        counts = self._good if good else self._bad
        position = minute % RETAINED_MINUTES
        counts[position] = min(counts[position] + 1, _MAX_COUNT)

    def count(self, minute: int, age: int, length: int) -> Counts:
        """Add up minutes.

        :param minute: current minute.
        :param age: minutes between the current one and the last to count.
        :param length: minutes to count.
        """
        self._advance(minute)
        newest = minute - age
        first = max(newest - length, minute - RETAINED_MINUTES) + 1
        start = first % RETAINED_MINUTES
        end = start + newest + 1 - first
        return Counts(
            _add_up(self._good, start, end), _add_up(self._bad, start, end)
        )

    def _advance(self, minute: int) -> None:
        """Clear the minutes that passed without an event."""
        if self._last is None or minute <= self._last:
            return
        passed = min(minute - self._last, RETAINED_MINUTES)
        for current in range(minute - passed + 1, minute + 1):
            position = current % RETAINED_MINUTES
            self._good[position] = self._bad[position] = 0
        self._last = minute


def combine(parts: list[list[Series]]) -> list[Series]:
    """Add up the counts of several processes.

    :param parts: what :meth:`Burn.collect` returned in each of them, at
        about the same time.
    """
    merged: dict[tuple[Objective, str], Series] = {}
    for series in (entry for part in parts for entry in part):
        key = (series.objective, series.account)
        known = merged.get(key)
        if known is None:
            merged[key] = series
            continue
        merged[key] = Series(
            series.objective,
            series.account,
            {
                minutes: _add(known.windows[minutes], counts)
                for minutes, counts in series.windows.items()
            },
            [
                _add(old, new)
                for old, new in zip(known.hours, series.hours, strict=True)
            ],
        )
    return [merged[key] for key in sorted(merged)]


def evaluate(
    collected: list[Series],
    targets: dict[Objective, float] | None = None,
) -> list[Row]:
    """Compute the burn rates and the alerts that fire.

    :param collected: counts of one process or of several.
    :param targets: shares of events that must be good, each below 1.
    """
    goals = TARGETS | (targets or {})
    for objective, target in goals.items():
        if not 0 <= target < 1:
            raise ValueError(
                f'target of {objective} is {target}; it must be in [0, 1)'
            )
    rows = []
    for series in collected:
        target = goals[series.objective]
        rates = {
            minutes: get_rate(counts, target)
            for minutes, counts in series.windows.items()
        }
        rows.append(Row(series, target, rates, _find_alerts(rates)))
    return rows


def get_rate(counts: Counts, target: float) -> float | None:
    """Return the burn rate: the share of bad events over the allowed one."""
    total = counts.good + counts.bad
    if not total:
        return None
    return counts.bad / total / (1.0 - target)


def _find_alerts(rates: dict[int, float | None]) -> list[Alert]:
    alerts = []
    for rule in RULES:
        long_rate = rates[rule.long_minutes]
        short_rate = rates[rule.short_minutes]
        if long_rate is None or short_rate is None:
            continue
        # A share of bad events that equals the threshold exactly must fire
        # despite rounding.
        limit = rule.threshold * (1 - 1e-9)
        if long_rate >= limit and short_rate >= limit:
            alerts.append(Alert(rule, long_rate, short_rate))
    return alerts


def _add_up(counts: array.array, start: int, end: int) -> int:
    """Add up positions of a ring; ``end`` may lie beyond its size."""
    total = sum(counts[start:end])
    return total + sum(counts[: max(0, end - RETAINED_MINUTES)])


def _add(first: Counts, second: Counts) -> Counts:
    return Counts(first.good + second.good, first.bad + second.bad)
