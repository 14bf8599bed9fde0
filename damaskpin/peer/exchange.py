"""Exchange of messages with peers, with one call at a time to each peer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.peer import codec as codecs
from damaskpin.peer import link
from damaskpin.peer import orders

if TYPE_CHECKING:
    import collections
    from collections.abc import Callable

    MessageBuilder = Callable[[], orders.Message | None]
    MessageHandler = Callable[
        [orders.Frame, orders.Message], 'orders.Message | None'
    ]

LOG = logging.getLogger(__name__)

# A peer normally answers within milliseconds; no answer for this time means
# that the connection is dead.
CALL_TIMEOUT_S = 0.6


class Exchange:
    """Sends messages to peers and handles the messages that peers send.

    A message is built just before it is sent, so a message that waited for a
    slow call is not outdated. A later message replaces a waiting message of
    the same kind.

    :param instance: instance id of this process.
    :param incarnation: random token of this run of the process.
    :param listen: pynng URL to listen on.
    :param address: pynng URL at which peers reach this process.
    :param key: secret shared by all damaskpin processes.
    :param receive: called with each message and its frame; returns the reply
        to the sender or ``None``.
    :param on_failure: called with the address of a peer that did not answer.
    """

    __slots__ = (
        '_address',
        '_codec',
        '_incarnation',
        '_instance',
        '_links',
        '_listener',
        '_on_failure',
        '_receive',
        '_send_tasks',
        '_waiting_builders',
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        listen: str,
        address: str,
        key: bytes,
        receive: MessageHandler,
        on_failure: Callable[[str], None],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._codec = codecs.Codec(key, orders.Frame)
        self._receive = receive
        self._on_failure = on_failure
        self._links: dict[str, link.Link] = {}
        self._waiting_builders: dict[str, dict[object, MessageBuilder]] = {}
        self._send_tasks: dict[str, asyncio.Task[None]] = {}
        self._listener = link.Listener(listen, self._codec, self._handle_call)

    @property
    def address(self) -> str:
        """Return the URL at which peers reach this process."""
        return self._address

    @property
    def counts(self) -> collections.Counter[str]:
        """Return the frames and bytes sent, and the frames too large."""
        return self._codec.counts

    def is_busy(self, address: str) -> bool:
        """Return whether a call to a peer is in progress."""
        return address in self._send_tasks

    def post(self, address: str, kind: object, build: MessageBuilder) -> None:
        """Queue a message to a peer until the call in progress there ends.

        :param address: URL on which the peer listens.
        :param kind: a waiting message of the same kind is replaced.
        :param build: returns the message, or ``None`` to send nothing.
        """
        self._waiting_builders.setdefault(address, {})[kind] = build
        if address in self._send_tasks:
            return
        self._send_tasks[address] = asyncio.ensure_future(
            self._send_all(address)
        )

    async def close(self) -> None:
        """Cancel all calls and close all connections."""
        for task in self._send_tasks.values():
            task.cancel()
        for connection in self._links.values():
            connection.close()
        await self._listener.close()

    async def _send_all(self, address: str) -> None:
        waiting_builders = self._waiting_builders[address]
        try:
            while waiting_builders:
                builders = list(waiting_builders.values())
                waiting_builders.clear()
                messages = [build() for build in builders]
                built_messages = tuple(m for m in messages if m is not None)
                if built_messages:
                    await self._call(address, built_messages)
        except Exception:
            LOG.exception('sending messages failed', extra={'peer': address})
        finally:
            del self._send_tasks[address]

    async def _call(
        self, address: str, messages: tuple[orders.Message, ...]
    ) -> None:
        connection = self._links.get(address)
        if connection is None:
            connection = link.Link(address, self._codec)
            self._links[address] = connection
        frame = self._make_frame(messages)
        try:
            reply = await connection.call(frame, CALL_TIMEOUT_S)
        except errors.FrameSizeError as error:
            await self._send_parts(address, messages, error)
            return
        except errors.PeerError as error:
            LOG.info('peer did not answer', extra={'error': str(error)})
            self._links.pop(address, None)
            connection.close()
            self._on_failure(address)
            return
        for message in reply.messages:
            self._receive(reply, message)

    async def _send_parts(
        self,
        address: str,
        messages: tuple[orders.Message, ...],
        error: errors.FrameSizeError,
    ) -> None:
        """Send messages that are too large together in several frames."""
        if len(messages) > 1:
            middle = len(messages) // 2
            await self._call(address, messages[:middle])
            await self._call(address, messages[middle:])
            return
        LOG.error(
            'message not sent, as it would be dropped',
            extra={
                'peer': address,
                'kind': type(messages[0]).__name__,
                'error': str(error),
            },
        )

    def _handle_call(self, frame: orders.Frame) -> orders.Frame:
        replies = []
        for message in frame.messages:
            reply = self._receive(frame, message)
            if reply is not None:
                replies.append(reply)
        return self._make_frame(tuple(replies))

    def _make_frame(
        self, messages: tuple[orders.Message, ...]
    ) -> orders.Frame:
        return orders.Frame(
            self._instance, self._incarnation, self._address, messages
        )
