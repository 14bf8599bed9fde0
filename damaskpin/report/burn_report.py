"""Formats burn rates as text, as JSON and as a self-contained HTML page."""

from __future__ import annotations

import html
import time

import msgspec
import pygal
from pygal import etree
from pygal import style as styles

from damaskpin.report import burn_rates

# The lines of more than 8 accounts cannot be distinguished in one chart.
_MAX_PLOTTED_ACCOUNTS = 8
_HOURS_PER_LABEL = 6
_WINDOW_LABELS = {
    5: '5 min',
    30: '30 min',
    60: '1 h',
    360: '6 h',
    burn_rates.RETAINED_MINUTES: '3 d',
}
_STYLESHEET = """
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
td:first-child, td:nth-child(2), td:last-child { text-align: left; }
tr.page { background: #f6c6c0; }
tr.ticket { background: #fbeebc; }
svg { max-width: 70em; }
"""


class _ReportDocument(msgspec.Struct, frozen=True):
    """Root object of the JSON report.

    :ivar wall: wall-clock time at which the rates were computed, in seconds
        since the epoch.
    """

    wall: float
    rows: list[burn_rates.BurnRateRow]


def format_json(rows: list[burn_rates.BurnRateRow], wall: float) -> bytes:
    """Format burn rates as JSON.

    :param wall: wall-clock time at which the rates were computed, in seconds
        since the epoch.
    """
    text = msgspec.json.encode(_ReportDocument(wall, rows))
    return msgspec.json.format(text, indent=2) + b'\n'


def format_text(rows: list[burn_rates.BurnRateRow], wall: float) -> str:
    """Format burn rates as a text table that begins with the alerts.

    :param wall: wall-clock time at which the rates were computed, in seconds
        since the epoch.
    """
    header = ['objective', 'account', 'target', *_WINDOW_LABELS.values()]
    table = [[*header, 'bad/all 3 d', 'alert']]
    table += [_format_cells(row) for row in _sort_by_urgency(rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    lines = [
        f'Burn rates at {_format_time(wall)}; rate 1 uses up the error budget.'
    ]
    for cells in table:
        line = '  '.join(
            cell.ljust(width) if index < 2 else cell.rjust(width)
            for index, (cell, width) in enumerate(
                zip(cells, widths, strict=True)
            )
        )
        lines.append(line.rstrip())
    if not rows:
        lines.append('No events.')
    return '\n'.join(lines) + '\n'


def format_html(rows: list[burn_rates.BurnRateRow], wall: float) -> str:
    """Format burn rates as an HTML page without scripts or external content.

    :param wall: wall-clock time at which the rates were computed, in seconds
        since the epoch.
    """
    header = ['objective', 'account', 'target', *_WINDOW_LABELS.values()]
    header += ['bad/all 3 d', 'alert']
    lines = [
        '<!DOCTYPE html>',
        '<html lang="en"><head><meta charset="utf-8">',
        f'<title>Burn rates</title><style>{_STYLESHEET}</style></head><body>',
        f'<h1>Burn rates at {_format_time(wall)}</h1>',
        '<p>A rate of 1 uses up the error budget exactly in its period.</p>',
        '<table><tr>',
        *(f'<th>{html.escape(name)}</th>' for name in header),
        '</tr>',
    ]
    for row in _sort_by_urgency(rows):
        severity = row.alerts[0].rule.severity if row.alerts else ''
        cells = ''.join(
            f'<td>{html.escape(cell)}</td>' for cell in _format_cells(row)
        )
        lines.append(f'<tr class="{severity}">{cells}</tr>')
    lines.append('</table>')
    for objective in burn_rates.Objective:
        objective_rows = [
            row for row in rows if row.series.objective == objective
        ]
        if objective_rows:
            lines.append(_draw_chart(objective, objective_rows))
    lines.append('</body></html>')
    return '\n'.join(lines) + '\n'


def _draw_chart(
    objective: burn_rates.Objective, rows: list[burn_rates.BurnRateRow]
) -> str:
    """Plot hourly burn rates of the accounts that rank first by urgency."""
    chart = pygal.Line(
        js=(),
        title=f'{objective}: burn rate in each hour before now',
        style=styles.CleanStyle,
        width=900,
        height=300,
        dots_size=1,
        x_label_rotation=0,
        show_minor_x_labels=False,
        include_x_axis=True,
        truncate_legend=-1,
    )
    hours = range(burn_rates.RETAINED_HOURS, 0, -1)
    chart.x_labels = [f'-{hour} h' for hour in hours]
    chart.x_labels_major = [
        f'-{hour} h' for hour in hours if hour % _HOURS_PER_LABEL == 0
    ]
    for row in _sort_by_urgency(rows)[:_MAX_PLOTTED_ACCOUNTS]:
        rates = [
            burn_rates.compute_burn_rate(counts, row.target)
            for counts in row.series.hours
        ]
        chart.add(row.series.account, rates[::-1])
    root = chart.render_tree()
    # pygal adds a script for tooltips, which a strict content security policy
    # blocks.
    for parent in list(root.iter()):
        for child in list(parent):
            if child.tag == 'script':
                parent.remove(child)
    return etree.etree.tostring(root, encoding='unicode')


def _format_cells(row: burn_rates.BurnRateRow) -> list[str]:
    counts = row.series.windows[burn_rates.RETAINED_MINUTES]
    return [
        str(row.series.objective),
        row.series.account,
        f'{row.target:.4g}',
        *(_format_rate(row.rates[minutes]) for minutes in _WINDOW_LABELS),
        f'{counts.bad}/{counts.good + counts.bad}',
        ', '.join(_format_alert(alert) for alert in row.alerts) or '-',
    ]


def _sort_by_urgency(
    rows: list[burn_rates.BurnRateRow],
) -> list[burn_rates.BurnRateRow]:
    """Sort rows by alert severity, then by burn rate over 3 days."""
    severity_ranks = {
        burn_rates.Severity.PAGE: 0,
        burn_rates.Severity.TICKET: 1,
    }
    return sorted(
        rows,
        key=lambda row: (
            severity_ranks[row.alerts[0].rule.severity] if row.alerts else 2,
            -(row.rates[burn_rates.RETAINED_MINUTES] or 0.0),
            row.series.objective,
            row.series.account,
        ),
    )


def _format_alert(alert: burn_rates.Alert) -> str:
    window = _WINDOW_LABELS[alert.rule.long_minutes]
    return f'{alert.rule.severity} ({window} >= {alert.rule.threshold:g})'


def _format_rate(rate: float | None) -> str:
    return '-' if rate is None else f'{rate:.2f}'


def _format_time(wall: float) -> str:
    return time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(wall))
