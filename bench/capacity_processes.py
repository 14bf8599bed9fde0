"""Measures traffic, processor time and memory of daemons on loopback."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
import urllib.error
import urllib.request

import msgspec
import psutil

from bench import capacity_sockets
from bench import configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

STOP_SECONDS = 10.0
START_SECONDS = 10.0
ENTRIES = 2
LOCAL = capacity_sockets.LOCAL


class Cost(msgspec.Struct, frozen=True):
    """Averages over the processes of one role and the measured time.

    :ivar wire: bytes per second to and from other daemons, with headers.
    :ivar payload: bytes per second to and from other daemons, without
        headers.
    :ivar frames: data segments per second that were sent to other daemons.
    :ivar store_wire: bytes per second to and from the store, with headers.
    :ivar core: processor time as a share of a core.
    :ivar memory: resident set size in bytes.
    :ivar unique: unique set size in bytes.
    """

    wire: float
    payload: float
    frames: float
    store_wire: float
    core: float
    memory: float
    unique: float


def measure(agents: int, seconds: float, settle: float) -> dict[str, Cost]:
    """Run a store, two entries and some agents, and measure their costs.

    :param agents: number of agents, each with a stand-in for its worker.
    :param seconds: seconds of the measurement.
    :param settle: seconds between the start of the processes and the
        measurement.
    :returns: average costs by role.
    """
    with contextlib.ExitStack() as stack:
        ports = iter(_find_ports(1 + 2 * ENTRIES + 3 * agents))
        processes, peers, relays = _start(stack, agents, ports)
        time.sleep(settle)
        before = _read(processes, peers, relays)
        started = time.monotonic()
        time.sleep(seconds)
        after = _read(processes, peers, relays)
        elapsed = time.monotonic() - started
        return {
            role: _average(
                role,
                [process.pid for process in members],
                before,
                after,
                elapsed,
            )
            for role, members in processes.items()
        }


def _start(
    stack: contextlib.ExitStack, agents: int, ports: Iterator[int]
) -> tuple[
    dict[str, list[subprocess.Popen[bytes]]],
    set[int],
    dict[str, capacity_sockets.Relay],
]:
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    environment = {
        key: value
        for key, value in os.environ.items()
        if not key.startswith('DAMASKPIN_')
    }
    environment['DAMASKPIN_FLEET_KEY'] = 'capacity-measurement-key'

    def start(*arguments: str) -> subprocess.Popen[bytes]:
        with open(os.path.join(folder, 'log'), 'ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        stack.callback(_stop, process)
        return process

    store = next(ports)
    processes = {'store': [start('standins.store', '--port', str(store))]}
    address = f'http://{LOCAL}:{store}'
    _put_config(address, agents)
    peers: set[int] = set()
    relays: dict[str, capacity_sockets.Relay] = {}
    entry_ports = [(next(ports), next(ports)) for _ in range(ENTRIES)]
    seeds = ','.join(f'http://{LOCAL}:{http}' for _, http in entry_ports)

    def start_daemon(
        role: str, name: str, listen: int, http: int, *flags: str
    ) -> subprocess.Popen[bytes]:
        peers.add(listen)
        return start(
            'damaskpin',
            role,
            *('--instance', name, '--seeds', seeds),
            *('--region', 'region-0', '--data-centre', 'data-centre-0'),
            *('--listen', f'tcp://{LOCAL}:{listen}'),
            *('--http-port', str(http)),
            *flags,
        )

    for index, (listen, http) in enumerate(entry_ports):
        role = 'entry' if index else 'coordinating entry'
        relays[role] = capacity_sockets.Relay(store)
        stack.callback(relays[role].close)
        address = f'http://{LOCAL}:{relays[role].port}'
        processes[role] = [
            start_daemon(
                'entry', f'entry-{index}', listen, http, '--store', address
            )
        ]
    processes['agent'] = []
    for index in range(agents):
        worker, listen, http = (next(ports) for _ in range(3))
        start('standins.worker', '--port', str(worker), '--accelerators', '8')
        flags = ('--rack', f'rack-{index // 3}', '--worker', f'worker-{index}')
        flags += ('--accelerators', '8')
        flags += ('--worker-url', f'http://{LOCAL}:{worker}')
        name = f'agent-{index}'
        processes['agent'].append(
            start_daemon('agent', name, listen, http, *flags)
        )
    return processes, peers, relays


def _put_config(address: str, agents: int) -> None:
    body = json.dumps(
        {
            'key': base64.b64encode(b'/damaskpin/config').decode(),
            'value': base64.b64encode(
                configuration.make_body(agents, 2)
            ).decode(),
        }
    ).encode()
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            with urllib.request.urlopen(f'{address}/v3/kv/put', body, 1.0):
                return
        except urllib.error.URLError:
            if time.monotonic() > deadline:
                raise
        time.sleep(0.1)


def _find_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((LOCAL, 0))
            ports.append(listener.getsockname()[1])
        return ports


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class _Reading(msgspec.Struct):
    sockets: dict[int, capacity_sockets.Sockets]
    store: dict[str, int]
    processor: dict[int, float]
    memory: dict[int, int]
    unique: dict[int, int]


def _read(
    processes: dict[str, list[subprocess.Popen[bytes]]],
    peers: set[int],
    relays: dict[str, capacity_sockets.Relay],
) -> _Reading:
    text = subprocess.run(
        ['ss', '-tinpHO'], capture_output=True, text=True, check=True
    ).stdout
    reading = _Reading(
        capacity_sockets.parse_sockets(text, peers),
        {role: relay.wire for role, relay in relays.items()},
        {},
        {},
        {},
    )
    for members in processes.values():
        for member in members:
            process = psutil.Process(member.pid)
            times = process.cpu_times()
            memory = process.memory_full_info()
            reading.processor[member.pid] = times.user + times.system
            reading.memory[member.pid] = memory.rss
            reading.unique[member.pid] = memory.uss
    return reading


def _average(
    role: str,
    pids: list[int],
    before: _Reading,
    after: _Reading,
    elapsed: float,
) -> Cost:
    def rate(field: str) -> float:
        total = 0
        for pid in pids:
            new = after.sockets.get(pid, capacity_sockets.Sockets())
            old = before.sockets.get(pid, capacity_sockets.Sockets())
            total += getattr(new, field) - getattr(old, field)
        return total / elapsed / len(pids)

    used = sum(after.processor[pid] - before.processor[pid] for pid in pids)
    return Cost(
        wire=rate('wire'),
        payload=rate('payload'),
        frames=rate('frames'),
        store_wire=(after.store.get(role, 0) - before.store.get(role, 0))
        / elapsed,
        core=used / elapsed / len(pids),
        memory=sum(after.memory[pid] for pid in pids) / len(pids),
        unique=sum(after.unique[pid] for pid in pids) / len(pids),
    )
