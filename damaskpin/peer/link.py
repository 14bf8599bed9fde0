"""Calls between damaskpin processes over pynng.

A call sends a batch of messages. Its reply returns the messages that the
receiver has for the caller after it handled the batch.
"""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

import pynng

from damaskpin import errors
from damaskpin.peer import codec as codecs
from damaskpin.peer import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

LOG = logging.getLogger(__name__)

# Number of pynng contexts of a listener; each serves one call at a time.
# Handlers do not block, so that a call keeps its context busy for microseconds
# and a few contexts serve all peers.
LISTENER_CONTEXTS = 16
CALL_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
IDLE_LINK_S = 60.0
# Maximum number of messages queued for one peer, which limits the memory used
# for a peer that receives too slowly.
MAX_QUEUED_MESSAGES = 10_000
MAX_BATCH_MESSAGES = 64


class Listener:
    """Serves calls from other processes.

    :param address: pynng URL to listen on.
    :param codec: codec with the fleet key.
    :param handler: called with each frame; returns the frame of the reply.
    :raises damaskpin.errors.SettingsError: the address can't be used.
    """

    __slots__ = (
        '_closing',
        '_codec',
        '_contexts',
        '_handler',
        '_socket',
        '_tasks',
    )

    def __init__(
        self,
        address: str,
        codec: codecs.Codec,
        handler: Callable[[messages.Frame], messages.Frame],
    ) -> None:
        self._closing = False
        self._codec = codec
        self._handler = handler
        self._socket = pynng.Rep0(recv_max_size=codecs.MAX_FRAME_BYTES)
        try:
            self._socket.listen(address)
        except pynng.NNGException as error:
            raise errors.SettingsError(
                f'--listen (DAMASKPIN_LISTEN): cannot listen on {address}: '
                f'{error}'
            ) from error
        self._contexts = [
            self._socket.new_context() for _ in range(LISTENER_CONTEXTS)
        ]
        self._tasks = [
            asyncio.ensure_future(self._serve(context))
            for context in self._contexts
        ]

    async def close(self) -> None:
        """Stop serving calls and close the socket."""
        self._closing = True
        # Closing the pynng contexts ends pending receives with an error;
        # cancelling their tasks alone may not end them.
        for context in self._contexts:
            context.close()
        self._socket.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)

    async def _serve(self, context: pynng.Context) -> None:
        while not self._closing:
            try:
                data = await context.arecv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                LOG.warning('receiving a call failed: %s', error)
                continue
            if self._closing:
                return
            try:
                reply = self._handler(self._codec.decode_frame(data))
            except errors.FrameError as error:
                LOG.warning('dropped an invalid frame: %s', error)
                continue
            except Exception:
                LOG.exception('handling a call failed')
                continue
            try:
                await context.asend(self._codec.encode_frame(reply))
            except errors.FrameSizeError as error:
                LOG.error(
                    'reply not sent, as it would be dropped',
                    extra={'error': str(error), 'call': len(data)},
                )
            except pynng.NNGException as error:
                LOG.info('sending a reply failed: %s', error)


class Link:
    """Connection to one peer, opened on demand.

    :param address: pynng URL of the peer.
    :param codec: codec with the fleet key.
    :ivar dials: number of connections that were opened.
    """

    __slots__ = ('_codec', '_context', '_socket', 'address', 'dials')

    def __init__(self, address: str, codec: codecs.Codec) -> None:
        self.address = address
        self.dials = 0
        self._codec = codec
        self._socket: pynng.Req0 | None = None
        self._context: pynng.Context | None = None

    async def call(
        self, frame: messages.Frame, timeout: float = CALL_TIMEOUT_S
    ) -> messages.Frame:
        """Send a frame and wait for the reply.

        :param frame: frame to send.
        :param timeout: seconds to wait for the connection and the reply.
        :raises damaskpin.errors.FrameSizeError: the frame is too large; it was
            not sent.
        :raises damaskpin.errors.PeerUnreachableError: the frame was not sent.
        :raises damaskpin.errors.PeerTimeoutError: the frame was sent, but no
            reply arrived.
        """
        data = self._codec.encode_frame(frame)
        try:
            context = self._open_context()
        except (pynng.NNGException, ValueError) as error:
            # Without this the socket of each attempt would stay open.
            self.close()
            raise errors.PeerUnreachableError(
                f'{self.address} is no address: {error}'
            ) from error
        try:
            await asyncio.wait_for(context.asend(data), timeout)
        except (TimeoutError, pynng.NNGException) as error:
            self.close()
            raise errors.PeerUnreachableError(
                f'no connection to {self.address}'
            ) from error
        try:
            reply = await asyncio.wait_for(context.arecv(), timeout)
        except (TimeoutError, pynng.NNGException) as error:
            # A connection without a reply may be dead, so the next call opens
            # a new one.
            self.close()
            raise errors.PeerTimeoutError(
                f'no reply from {self.address} within {timeout} s'
            ) from error
        return self._codec.decode_frame(reply)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._context is not None:
            self._context.close()
            self._context = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _open_context(self) -> pynng.Context:
        if self._context is not None:
            return self._context
        self.dials += 1
        self._socket = pynng.Req0(
            recv_max_size=codecs.MAX_FRAME_BYTES,
            reconnect_time_min=50,
            reconnect_time_max=500,
        )
        # Automatic resends of pynng are off: they would hide dead connections,
        # and the senders of messages repeat them when necessary.
        self._socket.resend_time = -1
        self._socket.dial(self.address, block=False)
        self._context = self._socket.new_context()
        return self._context


class Outbox:
    """Queues messages to peers and sends them in order, in batches.

    Each address has a queue, of which one batch at a time is sent.

    :param codec: codec with the fleet key.
    :param make_frame: builds a frame from messages of this process.
    :param handler: called with the frame of each reply.
    :param on_failure: called with the address and the error of a failed call.
    :ivar dropped: number of messages dropped because a queue was full.
    """

    __slots__ = (
        '_codec',
        '_handler',
        '_last_used_times',
        '_links',
        '_make_frame',
        '_on_failure',
        '_queues',
        '_send_tasks',
        'dropped',
    )

    def __init__(
        self,
        codec: codecs.Codec,
        make_frame: Callable[[Sequence[messages.Message]], messages.Frame],
        handler: Callable[[messages.Frame], None],
        on_failure: Callable[[str, errors.PeerError], None],
    ) -> None:
        self._codec = codec
        self._make_frame = make_frame
        self._handler = handler
        self._on_failure = on_failure
        self._links: dict[str, Link] = {}
        self._queues: dict[str, collections.deque[messages.Message]] = {}
        self._send_tasks: dict[str, asyncio.Task[None]] = {}
        self._last_used_times: dict[str, float] = {}
        self.dropped = 0

    def send(self, address: str, message: messages.Message) -> None:
        """Queue a message to a peer; it is dropped if the queue is full."""
        queue = self._queues.setdefault(address, collections.deque())
        if len(queue) >= MAX_QUEUED_MESSAGES:
            self.dropped += 1
            return
        queue.append(message)
        if address not in self._send_tasks:
            self._send_tasks[address] = asyncio.ensure_future(
                self._send_queued(address)
            )

    def close_idle(self, now: float) -> None:
        """Close connections without a call for ``IDLE_LINK_S`` seconds.

        :param now: time of the event loop's clock, in seconds.
        """
        for address, last_used in list(self._last_used_times.items()):
            if address in self._send_tasks or now - last_used < IDLE_LINK_S:
                continue
            self._links.pop(address).close()
            del self._last_used_times[address]
            del self._queues[address]

    async def close(self) -> None:
        """Send all queued messages, then close all connections."""
        await asyncio.gather(
            *self._send_tasks.values(), return_exceptions=True
        )
        for link in self._links.values():
            link.close()

    async def _send_queued(self, address: str) -> None:
        link = self._links.setdefault(address, Link(address, self._codec))
        queue = self._queues[address]
        try:
            while queue:
                batch = [
                    queue.popleft()
                    for _ in range(min(len(queue), MAX_BATCH_MESSAGES))
                ]
                await self._call(link, batch)
        finally:
            self._last_used_times[address] = asyncio.get_running_loop().time()
            del self._send_tasks[address]

    async def _call(self, link: Link, batch: list[messages.Message]) -> None:
        frame = self._make_frame(batch)
        try:
            reply = await link.call(frame)
        except errors.PeerTimeoutError:
            # The first connection may be dead, so the call is repeated once
            # over a new one; receivers ignore duplicate messages.
            try:
                reply = await link.call(frame)
            except errors.PeerError as error:
                self._on_failure(link.address, error)
                return
        except errors.PeerError as error:
            self._on_failure(link.address, error)
            return
        self._handler(reply)
