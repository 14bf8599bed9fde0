"""Runner of tests against the store stand-in on a loopback port."""

import asyncio
import contextlib

from damaskpin.store import client as clients
from standins import store as stores


def run_with_store(scenario, timeout=0.5):
    """Run a coroutine function with a store stand-in and its client."""

    async def body():
        server = stores.Server()
        client = clients.StoreClient(server.url, timeout)
        try:
            await asyncio.wait_for(scenario(server, client), 20)
        finally:
            client.close()
            with contextlib.suppress(asyncio.CancelledError):
                await server.close()

    asyncio.run(body())
