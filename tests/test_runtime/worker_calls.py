"""Calls to a worker that may be replaced, and plays of its clients."""

from __future__ import annotations

import asyncio
import functools
import gc
import os

from tornado import ioloop

from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.platform import worker as workers
from damaskpin.runtime import worker_connections
from tests.test_runtime import replaced_worker

FENCE = 5
UNTIL = 9000


def make_client(address):
    """Return a client of the worker at an address."""
    return worker_connections.WorkerConnections(
        functools.partial(workers.connect, address)
    )


def make_run(index):
    """Return a run, one for each index."""
    return work.Run(work.Item('0' * 16, 0, 0, index), 1)


def make_poll(lifetime, wait=0.0):
    """Return a poll that renews the lease and acknowledges ends."""
    return calls.PollCall(lifetime, FENCE, 7, UNTIL, wait, FENCE)


def make_start(lifetime, index=0):
    """Return the call that starts a run."""
    order = orders.StartOrder(make_run(index), 'content', '')
    return calls.StartCall(lifetime, FENCE, UNTIL, order, FENCE)


def make_stop(lifetime, index=0):
    """Return the call that stops a run."""
    return calls.StopCall(lifetime, FENCE, make_run(index), FENCE)


def list_tasks(worker, born=None):
    """Return the tasks of the starts that processes have read."""
    return [call.body['task'] for call in worker.list_calls('run-start', born)]


def list_effects(worker, born):
    """Return the calls that had an effect on a process."""
    return [
        call
        for call in worker.calls
        if call.born == born
        and (
            call.operation != 'hold'
            or 'untilMs' in call.body
            or call.body.get('observed')
            or call.body.get('waitMs')
        )
    ]


def play(scenario):
    """Run a scenario with a worker and its client.

    Errors that reach the event loop's handler fail the test.
    """
    errors = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        worker = replaced_worker.Worker()
        await worker.start()
        client = make_client(worker.address)
        try:
            await scenario(worker, client)
        finally:
            client.close()
            await worker.stop()
            gc.collect()

    asyncio.run(run())
    assert not errors


def count_resources():
    """Return the number of open descriptors and of tornado's handlers."""
    handlers = ioloop.IOLoop.current().handlers
    return len(os.listdir('/proc/self/fd')), len(handlers)
