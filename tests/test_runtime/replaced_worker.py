"""A worker on real sockets that another process replaces at its address."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

import msgspec

from damaskpin.model import work

ID = 'w1'

# Thousandths of a processor that each run takes.
RUN_CPU = 1000

ANSWER = 'HTTP/1.1 {status} X\r\nContent-Length: {size}\r\n\r\n{body}'


class Call(msgspec.Struct, frozen=True):
    """A call that a process has read.

    :ivar born: birth of the process.
    :ivar operation: ``hold``, ``run-start`` or ``run-stop``.
    :ivar connection: number of the connection, in order of acceptance.
    """

    born: int
    operation: str
    connection: int
    body: dict[str, object]


class Process:
    """One process of the worker.

    :param calls: receives the calls that the process reads.
    :ivar answers: bodies or statuses that replace the answers to polls, in
        turn; the last one stays.
    :ivar runs: runs that it was started with, by task.
    :ivar silent: connections on which it reads and does not answer.
    :ivar cut_at: number of characters after which an answer to a poll is cut
        off by the end of its connection; ``None`` for no cut.
    :ivar ends_on: operation whose call ends the process unanswered.
    :ivar accepted: number of connections that it has accepted.
    """

    def __init__(self, born, cpu, calls):
        self.born = born
        self.cpu = cpu
        self.calls = calls
        self.answers = []
        self.runs = {}
        self.silent = set()
        self.cut_at = None
        self.ends_on = None
        self.accepted = 0
        self.writers = {}
        self._ended = asyncio.Event()
        self._server = None
        self._handlers = set()

    async def listen(self, listener):
        """Accept connections of a listening socket."""
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def reset_connections(self):
        """Reset all connections; the process lives on."""
        for writer in self.writers.values():
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self.close_connections()

    def close_connections(self):
        """Close all connections in the usual way; the process lives on."""
        for writer in self.writers.values():
            writer.transport.abort()

    def silence_connections(self):
        """Leave all requests on the open connections unanswered."""
        self.silent |= set(self.writers)

    def end(self):
        """End the process with its runs and its connections."""
        self._ended.set()
        if self._server is not None:
            self._server.close()
        self.close_connections()

    async def wait_closed(self):
        """Wait until no connection is handled any more."""
        while self._handlers:
            await asyncio.wait(self._handlers)

    async def _serve(self, reader, writer):
        self.accepted += 1
        number = self.accepted
        self.writers[number] = writer
        self._handlers.add(asyncio.current_task())
        try:
            while not self._ended.is_set():
                await self._answer(number, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            del self.writers[number]
            self._handlers.discard(asyncio.current_task())

    async def _answer(self, number, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2].split()[0]
        body = json.loads(await reader.readexactly(int(length)))
        operation = head.split()[1].decode().rpartition('/')[2]
        self.calls.append(Call(self.born, operation, number, body))
        if operation == self.ends_on:
            self.end()
        if number in self.silent:
            await reader.read()
            raise ConnectionAbortedError
        await self._wait(body.get('waitMs', 0))
        if self._ended.is_set():
            raise ConnectionAbortedError
        status, answer = self._carry_out(operation, body)
        text = json.dumps(answer)
        whole = ANSWER.format(status=status, size=len(text), body=text)
        if operation != 'hold' or self.cut_at is None:
            writer.write(whole.encode())
            return
        writer.write(whole[: self.cut_at].encode())
        raise ConnectionAbortedError

    async def _wait(self, milliseconds):
        try:
            await asyncio.wait_for(self._ended.wait(), milliseconds / 1000)
        except TimeoutError:
            pass

    def _carry_out(self, operation, body):
        if operation == 'run-start':
            if (len(self.runs) + 1) * RUN_CPU > self.cpu:
                return 409, {'clockMs': 5000, 'reason': 'room'}
            self.runs[body['task']] = body['run']
            return 200, {'clockMs': 5000}
        if operation == 'run-stop':
            self.runs.pop(body['task'], None)
            return 200, {'clockMs': 5000}
        answer = self.answers[0] if self.answers else {'born': self.born}
        if len(self.answers) > 1:
            self.answers.pop(0)
        if isinstance(answer, int):
            return answer, {}
        running = [[task, run, '', 0] for task, run in self.runs.items()]
        return 200, {'clockMs': 5000, 'running': running, **answer}


class Worker:
    """Processes that follow one another at one address, under one id.

    :ivar process: the present process.
    :ivar calls: calls that all processes have read, in order.
    """

    def __init__(self):
        self.process = None
        self.calls = []
        self.port = 0
        self._processes = []

    @property
    def address(self):
        """Return the IP address and port."""
        return f'127.0.0.1:{self.port}'

    @property
    def lifetime(self):
        """Return the identity of the present process."""
        return work.Lifetime(ID, self.process.born)

    async def start(self, born=1000, cpu=64000, listener=None):
        """Start a process; return its identity."""
        self.process = Process(born, cpu, self.calls)
        self._processes.append(self.process)
        await self.process.listen(listener or self.make_listener())
        return self.lifetime

    async def replace(self, cpu=2000):
        """End the process and start a smaller one; return its identity."""
        self.process.end()
        return await self.start(self.process.born + 1000, cpu)

    def make_listener(self):
        """Return a socket that listens at the address."""
        listener = socket.create_server(('127.0.0.1', self.port))
        self.port = listener.getsockname()[1]
        return listener

    def list_calls(self, operation, born=None):
        """Return the calls of an operation that were read."""
        return [
            call
            for call in self.calls
            if call.operation == operation and born in (None, call.born)
        ]

    async def stop(self):
        """End all processes."""
        for process in self._processes:
            process.end()
            await process.wait_closed()
