"""Fleet of entry and agent processes with a simulated store and workers."""

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
import time

from soak import proxy as proxies
from soak import store as stores
from soak import worker as workers

ROOT = pathlib.Path(__file__).parent.parent
HOST = 'soak.example'
PREFIX = '/jobs/'
KEY = 'soak-key'
# Failed runs of a work item or gang after which its job fails.
ATTEMPTS = 2
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'r',
            'host': HOST,
            'prefix': PREFIX,
            'service': 's',
            'attempts': ATTEMPTS,
            'stretch': 3.0,
            'priority': 1,
        }
    ],
    'services': [{'name': 's'}],
    'tenants': [{'name': 't', 'apiKeys': [KEY]}],
}

# Below the ephemeral ports of Linux, which begin at 32768, and apart from the
# ports of the process tests, so that the port of a killed daemon is not taken
# by one of their processes.
FIRST_PORT = 30_000
LAST_PORT = 32_700


class PortAllocator:
    """Allocates free TCP ports on loopback in rising order."""

    def __init__(self, first_port):
        self._last_port = first_port

    def allocate(self):
        """Return the next port that no process listens on."""
        while True:
            self._last_port += 1
            if self._last_port > LAST_PORT:
                self._last_port = FIRST_PORT
            with socket.socket() as probe:
                try:
                    probe.bind(('127.0.0.1', self._last_port))
                except OSError:
                    continue
            return self._last_port


class DaemonProcess:
    """Entry or agent process that the soak test signals and restarts.

    :param folder: folder for the settings file and the log.
    :param settings: content of the settings file.
    :param store_proxy: proxy between the daemon and the store.
    :param peer_proxy: proxy on which other daemons reach this one.
    :ivar paused: whether the process is stopped by a signal.
    :ivar disturbed_at: monotonic time in seconds of the last start or signal.
    """

    def __init__(self, folder, settings, store_proxy, peer_proxy):
        self.paused = False
        self.disturbed_at = 0.0
        self.name = settings['node']
        self.settings = settings
        self.store_proxy = store_proxy
        self.peer_proxy = peer_proxy
        self._settings_path = folder / f'{self.name}.json'
        self._settings_path.write_text(json.dumps(settings))
        self._log = (folder / f'{self.name}.log').open('ab')
        self._process = None

    def start(self):
        """Start the process unless it is running."""
        if self.is_running():
            return
        environment = {
            'PATH': os.environ['PATH'],
            'DAMASKPIN_BOOT': str(self._settings_path),
            'DAMASKPIN_FLEET_KEY': 'soak-fleet-key',
            'DAMASKPIN_PEER_ADDRESS': (
                f'tcp://127.0.0.1:{self.peer_proxy.port}'
            ),
        }
        self.paused = False
        self.disturbed_at = time.monotonic()
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'damaskpin.platform'],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def is_running(self):
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, signum):
        """Send a signal to the process if it is running."""
        if not self.is_running():
            return
        if signum != signal.SIGCONT or self.paused:
            self.disturbed_at = time.monotonic()
        self.paused = signum == signal.SIGSTOP or (
            self.paused and signum != signal.SIGCONT
        )
        self._process.send_signal(signum)

    def has_run_undisturbed_since(self, start):
        """Return whether the process has run since then without a signal."""
        return (
            self.is_running() and not self.paused and self.disturbed_at < start
        )

    def kill(self):
        """Kill the process, paused or not, and wait until it has ended."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def close(self):
        """Kill the process and close its log."""
        self.kill()
        self._log.close()


class Fleet:
    """Daemons, workers, store and proxies of one run of the soak test.

    :ivar folder: folder for the settings files and logs.
    :ivar durations: seconds that a run takes, by the spec of its job.
    :ivar config_version: version of the configuration written last.
    :ivar rolling_restarts: tasks that restart all daemons in turn.
    :ivar workers: simulated workers, by the name of their agent.
    :ivar worker_proxies: proxies between agent and worker, by agent name.
    """

    def __init__(self, folder, oracle, durations, first_port):
        self.folder = folder
        self.oracle = oracle
        self.durations = durations
        self.ports = PortAllocator(first_port)
        self.config_version = 0
        self.rolling_restarts = []
        self.store = None
        self.entries = []
        self.agents = []
        self.workers = {}
        self.worker_proxies = {}
        self._heartbeats = {}
        self._servers = {}

    async def start(self, entries, agents):
        """Start the store, the entries and the agents with their workers.

        :param entries: number of entries.
        :param agents: number of agents.
        """
        store_port = self.ports.allocate()
        self.store = stores.StoreState(self.oracle.rng)
        self._servers['store'] = stores.serve(self.store, store_port)
        self.change_config()
        for index in range(entries):
            daemon = await self._create_daemon(
                f'entry-{index}', store_port, {}
            )
            self.entries.append(daemon)
        for index in range(agents):
            await self._create_agent(index, store_port)
        for daemon in self.entries + self.agents:
            daemon.start()

    async def close(self):
        """Stop all tasks, daemons, servers and proxies of the fleet."""
        for restart in self.rolling_restarts:
            restart.cancel()
        for daemon in self.entries + self.agents:
            daemon.close()
            daemon.store_proxy.close()
            daemon.peer_proxy.close()
        for heartbeat in self._heartbeats.values():
            heartbeat.cancel()
        for server in self._servers.values():
            server.stop()
        for proxy in self.worker_proxies.values():
            proxy.close()

    def change_config(self):
        """Write the next version of the configuration."""
        self.config_version += 1
        config = {**CONFIG, 'version': self.config_version}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.store.put('op/config', value)

    def restart_worker(self, agent):
        """Crash the worker of an agent and start a new worker under its id."""
        crashed = self.workers[agent.name]
        crashed.advance()
        self.oracle.record_worker_crash(crashed)
        self._heartbeats[agent.name].cancel()
        self._servers[agent.name].stop()
        crashed.alive = False
        self.worker_proxies[agent.name].reset()
        self._serve_worker(agent, crashed.name)

    def clear_faults(self):
        """Clear all faults and restart the daemons that have ended."""
        self.store.outage = ''
        self.store.lost_answer_share = 0.0
        for worker in self.workers.values():
            worker.late_answer_share = 0.0
        for daemon in self.entries + self.agents:
            daemon.store_proxy.mode = 'pass'
            daemon.peer_proxy.mode = 'pass'
            daemon.send_signal(signal.SIGCONT)
            daemon.start()
        for proxy in self.worker_proxies.values():
            proxy.mode = 'pass'

    async def _create_daemon(self, name, store_port, extra_settings):
        store_proxy = proxies.Proxy(store_port)
        await store_proxy.start(self.ports.allocate())
        store_address = f'127.0.0.1:{store_proxy.port}'
        peer_proxy = proxies.Proxy(self.ports.allocate())
        await peer_proxy.start(self.ports.allocate())
        settings = {
            'node': name,
            'role': 'soak',
            'ip': '127.0.0.1',
            'zone': 'z',
            'region': 'r',
            'listen': {
                'front': f'127.0.0.1:{self.ports.allocate()}',
                'ready': f'127.0.0.1:{self.ports.allocate()}',
                'control': f'127.0.0.1:{self.ports.allocate()}',
            },
            'portRange': [peer_proxy.target_port],
            'platform': {'addr': store_address},
            'bounds': {'holdMaxMs': 10000, 'stopMs': 400, 'graceS': 3.0},
            **extra_settings,
        }
        return DaemonProcess(self.folder, settings, store_proxy, peer_proxy)

    async def _create_agent(self, index, store_port):
        proxy = proxies.Proxy(self.ports.allocate())
        await proxy.start(self.ports.allocate())
        extra_settings = {'app': f'127.0.0.1:{proxy.port}', 'service': 's'}
        agent = await self._create_daemon(
            f'agent-{index}', store_port, extra_settings
        )
        self.worker_proxies[agent.name] = proxy
        self.agents.append(agent)
        self._serve_worker(agent, f'w{index}')

    def _serve_worker(self, agent, name):
        control = agent.settings['listen']['control']
        worker = workers.Worker(name, control, self.oracle, self.durations)
        self.workers[agent.name] = worker
        port = self.worker_proxies[agent.name].target_port
        self._servers[agent.name] = workers.serve(worker, port)
        self._heartbeats[agent.name] = asyncio.ensure_future(
            worker.send_heartbeats()
        )
