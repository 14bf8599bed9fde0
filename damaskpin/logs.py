"""Configuration of logging as JSON lines."""

from __future__ import annotations

import logging
import os
import sys
from typing import TextIO
from typing import TYPE_CHECKING

from pythonjsonlogger import json as json_formatter

if TYPE_CHECKING:
    from typing import Any


class BoundedHandler(logging.StreamHandler):
    """Writes log lines to a pipe without blocking on a slow reader.

    Lines that do not fit into the pipe are dropped and counted; the next line
    that fits reports the count as ``dropped_lines``.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.dropped = 0
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log record, or drop it if the pipe is full."""
        try:
            if self.dropped:
                record.dropped_lines = self.dropped
            line = self.format(record) + self.terminator
            os.write(self._descriptor, line.encode())
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            self.handleError(record)


def configure_logging(
    level: str, instance: str, stream: TextIO | None = None
) -> None:
    """Write all log records to a stream, one JSON object a line.

    :param level: lowest level that is written.
    :param instance: instance id of this process, added to each record.
    :param stream: stream that is written without blocking; ``None`` writes to
        standard error.
    """
    handler: Any = logging.StreamHandler(sys.stderr)
    if stream is not None:
        handler = BoundedHandler(stream)
    handler.setFormatter(
        json_formatter.JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
            },
            static_fields={'instance': instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Tornado's access log is off: the request log has the same requests, with
    # their identifiers.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
