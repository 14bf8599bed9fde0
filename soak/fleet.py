"""Entries and agents as processes, beside stand-ins of the platform."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

from soak import proxy as proxies
from soak import store as stores
from soak import worker as workers

ROOT = pathlib.Path(__file__).parent.parent
HOST = 'soak.example'
PREFIX = '/jobs/'
KEY = 'soak-key'
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'r',
            'host': HOST,
            'prefix': PREFIX,
            'service': 's',
            'attempts': 3,
            'stretch': 3.0,
            'priority': 1,
        }
    ],
    'services': [{'name': 's'}],
    'tenants': [{'name': 't', 'apiKeys': [KEY]}],
}

# Below the range of outgoing connections of Linux, which begins at 32768, and
# beside the ports of the process tests, so that a process that was killed is
# never followed by one of theirs.
FIRST_PORT = 30_000
LAST_PORT = 32_700


class Ports:
    """Free ports on loopback."""

    def __init__(self, first):
        self._next = first

    def take(self):
        """Return a port that nothing listens on."""
        while True:
            self._next += 1
            if self._next > LAST_PORT:
                self._next = FIRST_PORT
            with socket.socket() as probe:
                try:
                    probe.bind(('127.0.0.1', self._next))
                except OSError:
                    continue
            return self._next


class Program:
    """A process of ours that can be stopped and started.

    :param settings: content of its settings file.
    :param store_proxy: carries its calls of the store.
    :param peer_proxy: carries what its peers send to it.
    """

    def __init__(self, folder, settings, store_proxy, peer_proxy):
        self.name = settings['node']
        self.settings = settings
        self.store_proxy = store_proxy
        self.peer_proxy = peer_proxy
        self._file = folder / f'{self.name}.json'
        self._file.write_text(json.dumps(settings))
        self._log = (folder / f'{self.name}.log').open('ab')
        self._process = None

    def start(self):
        """Start the process unless it runs."""
        if self.is_running():
            return
        environment = {
            'PATH': os.environ['PATH'],
            'DAMASKPIN_BOOT': str(self._file),
            'DAMASKPIN_FLEET_KEY': 'soak-fleet-key',
            'DAMASKPIN_PEER_ADDRESS': (
                f'tcp://127.0.0.1:{self.peer_proxy.port}'
            ),
        }
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'damaskpin.platform'],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def is_running(self):
        """Return whether the process exists."""
        return self._process is not None and self._process.poll() is None

    def send(self, number):
        """Send a signal to the process."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def close(self):
        """End the process and its log."""
        self.kill()
        self._log.close()


class Fleet:
    """All processes and stand-ins of one run."""

    def __init__(self, folder, oracle, durations, first_port):
        self.folder = folder
        self.oracle = oracle
        self.durations = durations
        self.ports = Ports(first_port)
        self.version = 0
        self.series = []
        self.store = None
        self.entries = []
        self.agents = []
        self.workers = {}
        self.worker_proxies = {}
        self._beats = {}
        self._servers = {}

    async def start(self, entries, agents):
        """Start everything."""
        port = self.ports.take()
        self.store = stores.State(self.oracle.rng)
        self._servers['store'] = stores.serve(self.store, port)
        self.change_config()
        for index in range(entries):
            program = await self._make_program(f'entry-{index}', port, {})
            self.entries.append(program)
        for index in range(agents):
            await self._make_agent(index, port)
        for program in self.entries + self.agents:
            program.start()

    async def close(self):
        """End all that was started."""
        for series in self.series:
            series.cancel()
        for program in self.entries + self.agents:
            program.close()
            program.store_proxy.close()
            program.peer_proxy.close()
        for beat in self._beats.values():
            beat.cancel()
        for server in self._servers.values():
            server.stop()
        for proxy in self.worker_proxies.values():
            proxy.close()

    def change_config(self):
        """Write the next version of the configuration."""
        self.version += 1
        config = {**CONFIG, 'version': self.version}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.store.put('op/config', value)

    def restart_worker(self, agent):
        """Crash the worker beside an agent; a new one starts."""
        former = self.workers[agent.name]
        former.advance()
        self.oracle.note_gone(former)
        self._beats[agent.name].cancel()
        self._servers[agent.name].stop()
        former.alive = False
        self.worker_proxies[agent.name].reset()
        self._serve_worker(agent, former.name)

    def heal(self):
        """End all faults."""
        self.store.outage = ''
        self.store.lost = 0.0
        for worker in self.workers.values():
            worker.late = 0.0
        for program in self.entries + self.agents:
            program.store_proxy.mode = 'pass'
            program.peer_proxy.mode = 'pass'
            program.send(signal.SIGCONT)
            program.start()
        for proxy in self.worker_proxies.values():
            proxy.mode = 'pass'

    async def _make_program(self, name, store_port, more):
        proxy = proxies.Proxy(store_port)
        await proxy.start(self.ports.take())
        address = f'127.0.0.1:{proxy.port}'
        peers = proxies.Proxy(self.ports.take())
        await peers.start(self.ports.take())
        settings = {
            'node': name,
            'role': 'soak',
            'ip': '127.0.0.1',
            'zone': 'z',
            'region': 'r',
            'listen': {
                'front': f'127.0.0.1:{self.ports.take()}',
                'ready': f'127.0.0.1:{self.ports.take()}',
                'control': f'127.0.0.1:{self.ports.take()}',
            },
            'portRange': [peers.target],
            'platform': {'addr': address},
            'bounds': {'holdMaxMs': 10000, 'stopMs': 400, 'graceS': 3.0},
            **more,
        }
        return Program(self.folder, settings, proxy, peers)

    async def _make_agent(self, index, store_port):
        proxy = proxies.Proxy(self.ports.take())
        await proxy.start(self.ports.take())
        more = {'app': f'127.0.0.1:{proxy.port}', 'service': 's'}
        agent = await self._make_program(f'agent-{index}', store_port, more)
        self.worker_proxies[agent.name] = proxy
        self.agents.append(agent)
        self._serve_worker(agent, f'w{index}')

    def _serve_worker(self, agent, name):
        control = agent.settings['listen']['control']
        worker = workers.Worker(name, control, self.oracle, self.durations)
        self.workers[agent.name] = worker
        port = self.worker_proxies[agent.name].target
        self._servers[agent.name] = workers.serve(worker, port)
        self._beats[agent.name] = asyncio.ensure_future(worker.beat())
