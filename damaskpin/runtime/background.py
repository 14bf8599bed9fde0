"""Runs background tasks of a process and logs their exceptions."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

LOG = logging.getLogger(__name__)

# Pause before a failed loop is restarted, in seconds.
RESTART_PAUSE_S = 0.3


class BackgroundTasks:
    """Runs coroutines as tasks and logs their exceptions."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(_run_logged(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def supervise(
        self, make_coroutine: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Run a loop in the background and restart it when it fails."""
        self.spawn(_run_with_restarts(make_coroutine))

    def cancel(self) -> None:
        """Cancel all background tasks that are still running."""
        for task in list(self._tasks):
            task.cancel()


async def _run_logged(coroutine: Coroutine[None, None, None]) -> None:
    try:
        await coroutine
    except asyncio.CancelledError:
        raise
    except Exception:
        LOG.exception('background task failed')


async def _run_with_restarts(
    make_coroutine: Callable[[], Coroutine[None, None, None]],
) -> None:
    while True:
        try:
            await make_coroutine()
        except asyncio.CancelledError:
            raise
        except Exception:
            LOG.exception('background loop failed; restarting it')
            await asyncio.sleep(RESTART_PAUSE_S)
        else:
            return
