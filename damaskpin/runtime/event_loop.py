"""Detects that the event loop of a process stood still."""

from __future__ import annotations

import asyncio
import logging
import time

from damaskpin.runtime import clocks

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1

# Delay of a check, in seconds, from which it is logged. Shorter delays are
# usual on an instance with half a core.
MIN_LOGGED_DELAY_S = 0.4


class LoopMonitor:
    """Measures by how much the event loop runs timers late.

    :ivar longest_delay: longest delay of a timer since the start, in seconds.
    """

    __slots__ = ('longest_delay',)

    def __init__(self) -> None:
        self.longest_delay = 0.0

    async def run(self) -> None:
        """Measure delays and log the long ones until cancelled."""
        while True:
            started = clocks.get_monotonic_time()
            running = time.monotonic()
            used = time.process_time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            seconds = clocks.get_monotonic_time() - started
            delay = seconds - CHECK_INTERVAL_S
            self.longest_delay = max(self.longest_delay, delay)
            if delay < MIN_LOGGED_DELAY_S:
                continue
            # Processor time tells own work from a pause of the process, and
            # the second clock tells a suspension of the instance.
            LOG.warning(
                'event loop stood still',
                extra={
                    'seconds': round(delay, 3),
                    'processor_seconds': round(time.process_time() - used, 3),
                    'suspended_seconds': round(
                        seconds - (time.monotonic() - running), 3
                    ),
                },
            )
