"""Logging in JSON lines."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as json_formatter


def configure_logging(level: str, instance: str) -> None:
    """Write all log records to standard error, one JSON object a line.

    :param level: least severe level that is written.
    :param instance: name of this process, added to each record.
    """
    handler = logging.StreamHandler(sys.stderr)
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
    # The access log repeats what the request log says with its identifiers.
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
