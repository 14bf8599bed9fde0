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

STOP_TIMEOUT_SECONDS = 10.0
STORE_START_TIMEOUT_SECONDS = 10.0
ENTRIES = 2
LOOPBACK_ADDRESS = capacity_sockets.LOOPBACK_ADDRESS


class RoleCost(msgspec.Struct, frozen=True):
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


def measure_role_costs(
    agents: int, seconds: float, settle: float
) -> dict[str, RoleCost]:
    """Run a store, two entries and some agents, and measure their costs.

    :param agents: number of agents, each with a stand-in for its worker.
    :param seconds: seconds of the measurement.
    :param settle: seconds between the start of the processes and the
        measurement.
    :returns: average costs by role.
    """
    with contextlib.ExitStack() as stack:
        ports = iter(_find_free_ports(1 + 2 * ENTRIES + 3 * agents))
        processes, peer_ports, relays = _start_processes(stack, agents, ports)
        time.sleep(settle)
        before = _read_counters(processes, peer_ports, relays)
        started = time.monotonic()
        time.sleep(seconds)
        after = _read_counters(processes, peer_ports, relays)
        elapsed = time.monotonic() - started
        return {
            role: _average_costs(
                role,
                [process.pid for process in role_processes],
                before,
                after,
                elapsed,
            )
            for role, role_processes in processes.items()
        }


def _start_processes(
    stack: contextlib.ExitStack, agents: int, ports: Iterator[int]
) -> tuple[
    dict[str, list[subprocess.Popen[bytes]]],
    set[int],
    dict[str, capacity_sockets.StoreRelay],
]:
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    environment = {
        key: value
        for key, value in os.environ.items()
        if not key.startswith('DAMASKPIN_')
    }
    environment['DAMASKPIN_FLEET_KEY'] = 'capacity-measurement-key'

    def start_module(*arguments: str) -> subprocess.Popen[bytes]:
        with open(os.path.join(folder, 'log'), 'ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        stack.callback(_stop_process, process)
        return process

    store = next(ports)
    processes = {
        'store': [start_module('standins.store', '--port', str(store))]
    }
    store_url = f'http://{LOOPBACK_ADDRESS}:{store}'
    _put_config(store_url, agents)
    peer_ports: set[int] = set()
    relays: dict[str, capacity_sockets.StoreRelay] = {}
    entry_ports = [(next(ports), next(ports)) for _ in range(ENTRIES)]
    seeds = ','.join(
        f'http://{LOOPBACK_ADDRESS}:{http_port}'
        for _, http_port in entry_ports
    )

    def start_daemon(
        role: str, name: str, peer_port: int, http_port: int, *flags: str
    ) -> subprocess.Popen[bytes]:
        peer_ports.add(peer_port)
        return start_module(
            'damaskpin',
            role,
            *('--instance', name, '--seeds', seeds),
            *('--region', 'region-0', '--data-centre', 'data-centre-0'),
            *('--listen', f'tcp://{LOOPBACK_ADDRESS}:{peer_port}'),
            *('--http-port', str(http_port)),
            *flags,
        )

    for index, (peer_port, http_port) in enumerate(entry_ports):
        role = 'entry' if index else 'coordinating entry'
        relays[role] = capacity_sockets.StoreRelay(store)
        stack.callback(relays[role].close)
        store_url = f'http://{LOOPBACK_ADDRESS}:{relays[role].port}'
        processes[role] = [
            start_daemon(
                'entry',
                f'entry-{index}',
                peer_port,
                http_port,
                '--store',
                store_url,
            )
        ]
    processes['agent'] = []
    for index in range(agents):
        worker, peer_port, http_port = (next(ports) for _ in range(3))
        start_module(
            'standins.worker', '--port', str(worker), '--accelerators', '8'
        )
        flags = ('--rack', f'rack-{index // 3}', '--worker', f'worker-{index}')
        flags += ('--accelerators', '8')
        flags += ('--worker-url', f'http://{LOOPBACK_ADDRESS}:{worker}')
        name = f'agent-{index}'
        processes['agent'].append(
            start_daemon('agent', name, peer_port, http_port, *flags)
        )
    return processes, peer_ports, relays


def _put_config(store_url: str, agents: int) -> None:
    body = json.dumps(
        {
            'key': base64.b64encode(b'/damaskpin/config').decode(),
            'value': base64.b64encode(
                configuration.make_config_document(agents, 2)
            ).decode(),
        }
    ).encode()
    deadline = time.monotonic() + STORE_START_TIMEOUT_SECONDS
    while True:
        try:
            with urllib.request.urlopen(f'{store_url}/v3/kv/put', body, 1.0):
                return
        except urllib.error.URLError:
            if time.monotonic() > deadline:
                raise
        time.sleep(0.1)


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((LOOPBACK_ADDRESS, 0))
            ports.append(listener.getsockname()[1])
        return ports


def _stop_process(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class _Counters(msgspec.Struct):
    sockets: dict[int, capacity_sockets.SocketCounters]
    store: dict[str, int]
    processor: dict[int, float]
    memory: dict[int, int]
    unique: dict[int, int]


def _read_counters(
    processes: dict[str, list[subprocess.Popen[bytes]]],
    peer_ports: set[int],
    relays: dict[str, capacity_sockets.StoreRelay],
) -> _Counters:
    text = subprocess.run(
        ['ss', '-tinpHO'], capture_output=True, text=True, check=True
    ).stdout
    counters = _Counters(
        capacity_sockets.parse_sockets(text, peer_ports),
        {role: relay.wire for role, relay in relays.items()},
        {},
        {},
        {},
    )
    for role_processes in processes.values():
        for member in role_processes:
            process = psutil.Process(member.pid)
            times = process.cpu_times()
            memory = process.memory_full_info()
            counters.processor[member.pid] = times.user + times.system
            counters.memory[member.pid] = memory.rss
            counters.unique[member.pid] = memory.uss
    return counters


def _average_costs(
    role: str,
    pids: list[int],
    before: _Counters,
    after: _Counters,
    elapsed: float,
) -> RoleCost:
    def rate(field: str) -> float:
        total = 0
        for pid in pids:
            after_sockets = after.sockets.get(
                pid, capacity_sockets.SocketCounters()
            )
            before_sockets = before.sockets.get(
                pid, capacity_sockets.SocketCounters()
            )
            total += getattr(after_sockets, field) - getattr(
                before_sockets, field
            )
        return total / elapsed / len(pids)

    used = sum(after.processor[pid] - before.processor[pid] for pid in pids)
    return RoleCost(
        wire=rate('wire'),
        payload=rate('payload'),
        frames=rate('frames'),
        store_wire=(after.store.get(role, 0) - before.store.get(role, 0))
        / elapsed,
        core=used / elapsed / len(pids),
        memory=sum(after.memory[pid] for pid in pids) / len(pids),
        unique=sum(after.unique[pid] for pid in pids) / len(pids),
    )
