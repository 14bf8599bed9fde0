"""Background tasks of a process."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

LOG = logging.getLogger(__name__)

# Pause before a loop that failed begins anew, in seconds.
RESTART_S = 0.3


class Background:
    """Runs coroutines and logs their faults."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine."""
        task = asyncio.ensure_future(_run_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def keep(self, make: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a loop; begin it anew if it fails, as nothing else would."""
        self.spawn(_run_again(make))

    def cancel(self) -> None:
        """Cancel all that still runs."""
        for task in list(self._tasks):
            task.cancel()


async def _run_logged(work: Coroutine[None, None, None]) -> None:
    try:
        await work
    except asyncio.CancelledError:
        raise
    except Exception:
        LOG.exception('background work failed')


async def _run_again(
    make: Callable[[], Coroutine[None, None, None]],
) -> None:
    while True:
        try:
            await make()
        except asyncio.CancelledError:
            raise
        except Exception:
            LOG.exception('a loop failed and begins anew')
            await asyncio.sleep(RESTART_S)
        else:
            return
