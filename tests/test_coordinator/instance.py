"""Simulated machine with a worker and the agent beside it."""

from __future__ import annotations

# Longest time in seconds for which a machine is suspended, as the longest of
# the site files, and shortest time that it is awake between two suspensions.
MAX_SUSPENSION_S = 4.0
MIN_AWAKE_S = 2.5


class Instance:
    """An instance with a worker and the agent beside it.

    :ivar rack: rack of the machine.
    :ivar labels: labels of the worker.
    :ivar connection_epoch: number of times that all connections to the worker
        were reset.
    :ivar pool: connections of the agent's process to the worker.
    :ivar disconnected: whether messages to and from the instance are lost.
    :ivar unresponsive: whether the worker does not answer its agent.
    :ivar next_heartbeat: time of the worker's next heartbeat, in seconds.
    :ivar down_until: time in seconds until which the worker's process starts
        and connections to it are refused.
    :ivar frozen_until: time in seconds until which the agent's process is
        suspended.
    :ivar suspended_until: time in seconds until which the machine is
        suspended, with its agent and its worker.
    :ivar waiting: what reached the agent's sockets while it was suspended, as
        functions that handle it.
    """

    def __init__(self, index):
        self.name = f'agent-{index}'
        self.rack = 'r1'
        self.labels = ('a', 'r1')
        self.worker = None
        self.agent = None
        self.pool = None
        self.connection_epoch = 0
        self.disconnected = False
        self.unresponsive = False
        self.next_heartbeat = 0.0
        self.down_until = 0.0
        self.frozen_until = 0.0
        self.suspended_until = 0.0
        self.waiting = []

    def reset_connections(self):
        """End all connections to the worker, whose process goes on."""
        self.connection_epoch += 1

    def is_frozen(self, now):
        return now < max(self.frozen_until, self.suspended_until)

    def is_suspended(self, now):
        return now < self.suspended_until

    def suspend(self, now, seconds):
        """Suspend the machine with its agent, its worker and their clocks.

        Nothing happens if it has not been awake for long enough.
        """
        if now - self.suspended_until < MIN_AWAKE_S:
            return
        self.suspended_until = now + seconds
        self.next_heartbeat = max(self.next_heartbeat, self.suspended_until)
        self.worker.suspend(now, seconds)

    def resume(self, now):
        """End a suspension of the machine now, if there is one."""
        self.suspended_until = min(self.suspended_until, now)
        self.worker.resume(now)

    def receive(self, now, handle):
        """Let the agent handle a message, once it is no longer suspended."""
        if self.is_frozen(now) or self.waiting:
            self.waiting.append(handle)
            return
        handle()

    def thaw(self, rng):
        """Handle what has arrived meanwhile, in an order of the event loop.

        Messages on one connection keep their order; the order of connections
        and timers is open, so that two halves are interleaved at random.
        """
        while self.waiting:
            position = rng.randrange(min(2, len(self.waiting)))
            self.waiting.pop(position)()
