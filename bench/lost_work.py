"""Sums the lost work that the log of a day shows, by cause.

Reads the JSON lines of the coordinating entries from files or standard input;
other lines, and what stands before the JSON of a line, are left out.
"""

from __future__ import annotations

import collections
import json
import sys
from typing import TYPE_CHECKING

import fire

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

MESSAGES = frozenset(('run ended', 'run removed'))


class LossTable:
    """Lost work of a day by cause.

    :ivar runs: number of runs that ended without success.
    :ivar core_seconds: core-seconds of work that they lost.
    """

    __slots__ = ('core_seconds', 'runs')

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.core_seconds: collections.Counter[str] = collections.Counter()

    def add_line(self, line: str) -> None:
        """Add the run that a log line is about, if it tells of a loss."""
        start = line.find('{"')
        if start < 0:
            return
        try:
            record = json.loads(line[start:])
        except ValueError:
            # A line that is no record of ours, or a cut one.
            return
        if record.get('message') not in MESSAGES or 'cause' not in record:
            return
        cause = record['cause']
        self.runs[cause] += 1
        self.core_seconds[cause] += record['lost_core_seconds']

    def render(self) -> Iterator[str]:
        """Yield the rows of the table, the largest loss first."""
        for cause, lost in self.core_seconds.most_common():
            yield f'{cause:<22}{self.runs[cause]:>6} runs{lost:>12.0f}'
        total = sum(self.core_seconds.values())
        yield f'{"all":<22}{sum(self.runs.values()):>6} runs{total:>12.0f}'


def make_table(lines: Iterable[str]) -> LossTable:
    """Return the table of the losses in log lines."""
    table = LossTable()
    for line in lines:
        table.add_line(line)
    return table


def show(*paths: str) -> None:
    """Print the lost core-seconds by cause.

    :param paths: files with log lines; standard input if there are none.
    """
    lines: list[str] = []
    for path in paths:
        with open(path, errors='replace') as log:
            lines.extend(log)
    table = make_table(lines if paths else sys.stdin)
    print('\n'.join(table.render()))


if __name__ == '__main__':
    fire.Fire(show)
