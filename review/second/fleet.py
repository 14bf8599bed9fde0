"""Small deployment of real programs and stand-ins on loopback addresses."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib

from review.second import proxy as proxies
from review.second import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

STORE_HOST = '127.0.9.1'
HOST = 'queue.example'
PREFIX = '/jobs/'
KEY = 'review-key'

# Kind of the first worker and of the others, the first of their labels.
FIRST_KIND = 'a'
OTHER_KIND = 'b'

# Time in seconds after the start of the machines at which traffic begins.
LEAD_S = 12.0

# Ports of each machine by their use; all machines have the same, as on a day
# of the platform.
PORT_USES = ('peer', 'front', 'ready', 'control', 'app', 'metrics', 'store')

BOUNDS = {
    'contactMs': 4000,
    'ackMs': 5000,
    'drainMs': 2500,
    'graceS': 6,
    'configApplyMs': 2500,
    'holdMaxMs': 10000,
    'stopMs': 400,
    'gangWaitMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'finish_s': 14,
    'status_s': 120,
}


def make_config(version=1, **fields):
    """Return an operator's configuration with one queue.

    :param fields: fields of the queue that differ from the usual ones.
    """
    route = {
        'name': 'r',
        'host': HOST,
        'prefix': PREFIX,
        'service': 's',
        'priority': 1,
        'attempts': 3,
        'stretch': 3.0,
        'targetLatencyMs': 1200,
        'timeoutMs': 3000,
        **fields,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [{'name': 's', 'rejectsOverload': False}],
        'tenants': [{'name': 't', 'apiKeys': [KEY], 'guaranteed': {'gpu': 0}}],
        'limits': {'maxBodyBytes': 262144},
    }


def find_ports(hosts):
    """Return a port for each use that is free on all hosts."""
    while True:
        first = random.randrange(20000, 32000)
        ports = {use: first + i for i, use in enumerate(PORT_USES)}
        if all(_is_free(h, p) for h in hosts for p in ports.values()):
            return ports


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Process:
    """A process that a script has started.

    :param command: words of the command.
    :param log: path of the file with its output.
    """

    def __init__(self, command, environment, log):
        self._command = command
        self._environment = environment
        self._log = log
        self._process = None

    def start(self):
        """Start the process."""
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process, if it has not ended."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def get_status(self):
        """Return the exit status; ``None`` while the process runs."""
        return self._process.poll()

    def kill(self):
        """Kill the process, stopped or not, and wait until it has ended."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()


class Machine:
    """A machine with its processes and the ways to it.

    :ivar daemon: process of the system.
    :ivar worker: stand-in of the worker; ``None`` on a front machine.
    :ivar store_way: proxy between the daemon and the store.
    :ivar peer_way: proxy on which other daemons reach this one.
    :ivar worker_ways: proxies between the daemon and the worker, one for each
        direction of calls; none on a front machine.
    """

    def __init__(self, name, ip, peer_ip):
        self.name = name
        self.ip = ip
        self.peer_ip = peer_ip
        self.daemon = None
        self.worker = None
        self.store_way = None
        self.peer_way = None
        self.worker_ways = []

    @property
    def ways(self):
        """Return all proxies of the machine."""
        ways = [self.store_way, self.peer_way, *self.worker_ways]
        return [way for way in ways if way is not None]


class Fleet:
    """Store, entries, agents and workers.

    :param folder: temporary folder for settings and logs.
    :param record: record of the script.
    :ivar store: stand-in of the store.
    """

    def __init__(self, folder, record, entries, sides):
        self.folder = pathlib.Path(folder)
        self.record = record
        self.bounds = BOUNDS
        self.store = stores.Store()
        self.entries = [
            Machine(f'front-{i}', f'127.0.1.{i + 1}', f'127.0.3.{i + 1}')
            for i in range(entries)
        ]
        self.sides = [
            Machine(f'side-{i}', f'127.0.2.{i + 1}', f'127.0.4.{i + 1}')
            for i in range(sides)
        ]
        hosts = [STORE_HOST]
        for machine in self.machines:
            hosts += [machine.ip, machine.peer_ip]
        self.ports = find_ports(hosts)
        self.worker_log = self.folder / 'workers.jsonl'
        self.worker_log.touch()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']
        self._server = None
        self._leases = None

    @property
    def machines(self):
        """Return all machines."""
        return self.entries + self.sides

    async def start(self, config=None):
        """Start all processes and stand-ins, and wait for the traffic."""
        self._server = stores.serve(
            self.store, STORE_HOST, self.ports['store']
        )
        self._leases = asyncio.ensure_future(self.store.expire_leases())
        self.configure(config or make_config())
        for machine in self.machines:
            await self._make_ways(machine)
        for index, machine in enumerate(self.sides):
            self._make_worker(index, machine)
        for machine in self.machines:
            self._make_daemon(machine)
            machine.daemon.start()
        await asyncio.sleep(LEAD_S)
        self.record.write('traffic begins')

    async def close(self):
        """End all processes and stand-ins."""
        for machine in self.machines:
            for process in (machine.daemon, machine.worker):
                if process is not None:
                    process.kill()
            for way in machine.ways:
                way.close()
        if self._leases is not None:
            self._leases.cancel()
            self._server.stop()

    def configure(self, config):
        """Write the operator's configuration to the store."""
        text = json.dumps(config).encode()
        self.store.put('op/config', base64.b64encode(text).decode())
        self.record.write('configuration sent', version=config['version'])

    def find_leader(self):
        """Return the entry that the store has as leader, or ``None``."""
        item = self.store.items.get('damaskpin/leader')
        if item is None:
            return None
        address = base64.b64decode(item['value']).decode().split(' ')[0]
        for machine in self.entries:
            if f'//{machine.peer_ip}:' in address:
                return machine
        return None

    def cut(self, machine):
        """Partition a machine from all others and from the store."""
        machine.store_way.is_cut = True
        machine.peer_way.is_cut = True
        for other in self.machines:
            other.peer_way.cut_names.add(machine.name)
        self.record.write('cut off', machine=machine.name)

    def cut_worker(self, machine):
        """Partition the worker of a machine from all machines."""
        for way in machine.worker_ways:
            way.is_cut = True
        self.record.write('worker cut off', machine=machine.name)

    def heal(self):
        """End all cuts."""
        for machine in self.machines:
            for way in machine.ways:
                way.heal()
        self.record.write('cuts ended')

    def read_worker_events(self):
        """Return the events that the workers have written."""
        lines = self.worker_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def _make_ways(self, machine):
        machine.store_way = proxies.Proxy((STORE_HOST, self.ports['store']))
        await machine.store_way.start(machine.ip, self.ports['store'])
        machine.peer_way = proxies.Proxy((machine.ip, self.ports['peer']))
        await machine.peer_way.start(machine.peer_ip, self.ports['peer'])
        if machine not in self.sides:
            return
        for use in ('app', 'control'):
            way = proxies.Proxy((machine.ip, self.ports[use]))
            await way.start(machine.peer_ip, self.ports[use])
            machine.worker_ways.append(way)

    def _make_daemon(self, machine):
        is_side = machine in self.sides
        role = self._roles['agent' if is_side else 'entry']
        settings = self._make_settings(machine, is_side)
        path = self.folder / f'{machine.name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'DAMASKPIN_BOOT': str(path),
            'DAMASKPIN_PEER_ADDRESS': (
                f'tcp://{machine.peer_ip}:{self.ports["peer"]}'
            ),
        }
        for name, text in role['env'].items():
            environment[name] = text.replace('{{ip}}', machine.ip).replace(
                ':9464', f':{self.ports["metrics"]}'
            )
        log = self.folder / f'{machine.name}.log'
        machine.daemon = Process(role['run'].split(), environment, log)

    def _make_settings(self, machine, is_side):
        ports = self.ports
        listen = {'control': f'{machine.ip}:{ports["control"]}'}
        if not is_side:
            listen['front'] = f'{machine.ip}:{ports["front"]}'
            listen['ready'] = f'{machine.ip}:{ports["ready"]}'
        settings = {
            'node': machine.name,
            'role': 'agent' if is_side else 'entry',
            'class': 'side' if is_side else 'front',
            'ip': machine.ip,
            'zone': 'z1',
            'region': 'g1',
            'zones': {'z1': 'g1'},
            'listen': listen,
            'portRange': [ports['peer'], ports['peer']],
            'seeds': [
                f'{entry.peer_ip}:{ports["control"]}'
                for entry in self.entries[:3]
            ],
            'bootstrap': True,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300},
            'heartbeatMs': 1500,
            'bounds': self.bounds,
            'commands': 'rpc',
            'platform': {'addr': f'{machine.ip}:{ports["store"]}'},
        }
        if is_side:
            settings['app'] = f'{machine.peer_ip}:{ports["app"]}'
            settings['service'] = 's'
        return settings

    def _make_worker(self, index, machine):
        settings = {
            'id': f'i-{index:08x}',
            'log': str(self.worker_log),
            'app': f'{machine.ip}:{self.ports["app"]}',
            'control': f'{machine.peer_ip}:{self.ports["control"]}',
            'service': 's',
            'zone': 'z1',
            'labels': [
                OTHER_KIND if index else FIRST_KIND,
                f'r1-{index // 3}',
            ],
            'capacity': {'cpu': 128000, 'memMb': 262144, 'gpu': 8},
            'heartbeatMs': 1500,
            'stopMs': self.bounds['stopMs'],
            'holdMaxMs': self.bounds['holdMaxMs'],
        }
        path = self.folder / f'{settings["id"]}.json'
        path.write_text(json.dumps(settings))
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': f'{ROOT}:{ROOT / "target/deps"}',
        }
        command = [sys.executable, '-m', 'review.second.worker', str(path)]
        log = self.folder / f'{machine.name}-worker.log'
        machine.worker = Process(command, environment, log)
        machine.worker.start()


class Record:
    """Lines of ``record.txt``, with seconds since the start of the script."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._path = pathlib.Path(path)
        self._path.write_text('')

    def write(self, event, at=None, **fields):
        """Write an event; the time is now if it is not given."""
        seconds = (at or time.monotonic()) - self.started
        words = [f'{name}={value}' for name, value in fields.items()]
        line = f'{seconds:8.3f} {" ".join([event, *words])}\n'
        with self._path.open('a', encoding='utf-8') as file:
            file.write(line)
