"""Frame of a script: folder, record, clean-up and exit status."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from review.second import fleet as fleets

HELD = 0
BROKEN = 1
NOT_RUN = 2

# Longest time of a script in seconds.
TIME_LIMIT_S = 110.0


def has_trouble():
    """Return whether the script brings the disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(play, folder):
    """Play a case and exit with its result.

    :param play: coroutine function that takes the record and a temporary
        folder, and returns a description of the broken rule or an empty text.
    :param folder: folder of the case, which gets ``record.txt``.
    """
    try:
        broken = _play_and_record(play, pathlib.Path(folder) / 'record.txt')
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if broken else HELD)


def _play_and_record(play, path):
    """Play a case with a record, and return how the rule was broken."""
    record = fleets.Record(path)
    record.write('script begins', trouble=has_trouble())
    try:
        with _make_folder() as scratch:
            broken = asyncio.run(_play_in_time(play, record, scratch))
    except BaseException as error:
        record.write('the case could not run', error=repr(error))
        raise
    result = f'rule broken: {broken}' if broken else 'rule held'
    record.write(result)
    print(result)
    return broken


async def _play_in_time(play, record, folder):
    """Play a case; SIGTERM and the time limit end all its processes."""
    task = asyncio.ensure_future(play(record, folder))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, TIME_LIMIT_S)


def _make_folder():
    """Return a temporary folder, or the one that KEEP names, which stays."""
    kept = os.environ.get('KEEP')
    if not kept:
        return tempfile.TemporaryDirectory()
    os.makedirs(kept, exist_ok=True)
    return contextlib.nullcontext(kept)
