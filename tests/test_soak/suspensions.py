"""Fleet of the soak test whose machines are suspended now and then."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from soak import fleet as fleets

# Shortest and longest time in seconds of a suspension, and between two of
# the same machine.
SUSPENSION_S = (0.5, 4.0)
AWAKE_S = (2.5, 6.0)
CHECK_INTERVAL_S = 0.05


class StandingClock:
    """Clock of a worker, which stands still while its machine is suspended."""

    def __init__(self):
        self._stood_still = 0.0
        self._suspended_at = None

    def __call__(self):
        """Return the seconds that the clock has counted."""
        if self._suspended_at is not None:
            return self._suspended_at - self._stood_still
        return time.monotonic() - self._stood_still

    def stop(self):
        self._suspended_at = time.monotonic()

    def go_on(self):
        """Go on after a suspension, if there is one."""
        if self._suspended_at is not None:
            self._stood_still += time.monotonic() - self._suspended_at
            self._suspended_at = None


class SuspendingFleet(fleets.Fleet):
    """Fleet that suspends each agent with its worker's clock at random times.

    A suspension ends early where a process of the machine is started.

    :ivar count: number of suspensions so far.
    """

    def __init__(self, folder, oracle, durations, first_port):
        super().__init__(folder, oracle, durations, first_port)
        self.count = 0
        self._rng = random.Random(first_port)
        self._clocks = {}
        self._suspenders = []

    async def start(self, entries, agents):
        """Start the fleet, and the suspensions of its machines."""
        await super().start(entries, agents)
        for agent in self.agents:
            suspender = asyncio.ensure_future(self._suspend_repeatedly(agent))
            self._suspenders.append(suspender)

    async def close(self):
        """Stop all suspensions and the fleet."""
        for suspender in self._suspenders:
            suspender.cancel()
        self._resume_all()
        await super().close()

    def restart_worker(self, agent):
        """Crash the worker of an agent and start a new one."""
        self._resume(agent)
        super().restart_worker(agent)

    def clear_faults(self):
        """Clear all faults, and end the suspensions."""
        self._resume_all()
        super().clear_faults()

    async def _suspend_repeatedly(self, agent):
        while True:
            await asyncio.sleep(self._rng.uniform(*AWAKE_S))
            if not agent.is_running() or agent.paused:
                continue
            self.count += 1
            self._suspend(agent)
            end = time.monotonic() + self._rng.uniform(*SUSPENSION_S)
            # The agent goes on early if it is killed or started meanwhile.
            while agent.paused and time.monotonic() < end:
                await asyncio.sleep(CHECK_INTERVAL_S)
            self._resume(agent)

    def _suspend(self, agent):
        agent.send_signal(signal.SIGSTOP)
        self.workers[agent.name].advance()
        self._clocks[agent.name].stop()

    def _resume(self, agent):
        self._clocks[agent.name].go_on()
        agent.send_signal(signal.SIGCONT)

    def _resume_all(self):
        for agent in self.agents:
            self._resume(agent)

    def _serve_worker(self, agent, name):
        super()._serve_worker(agent, name)
        clock = StandingClock()
        self._clocks[agent.name] = clock
        self.workers[agent.name].clock = clock
