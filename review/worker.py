"""Stand-in of the platform's workers, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import itertools
import json
import time

from tornado import httpclient
from tornado import httpserver
from tornado import web

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_MS = 100
MAX_ENDS = 500

LIFETIME_COUNT = itertools.count(1)


class Cluster:
    """What all workers share.

    :ivar works: function that tells how long a work item works, in seconds,
        by its job's spec; ``None`` for one that lasts.
    :ivar log: function that records an event.
    """

    def __init__(self, works, log):
        self.works = works
        self.log = log


class Run:
    """A run of a work item on a worker; times are the worker's clock."""

    def __init__(self, task, number, spec, began):
        self.task = task
        self.number = number
        self.spec = spec
        self.began = began
        self.ends = None
        self.stops = None


class Worker:
    """One life of a worker on a machine."""

    def __init__(self, cluster, machine):
        self.cluster = cluster
        self.machine = machine
        self.id = f'i-{next(LIFETIME_COUNT):08x}'
        self.born = int(time.time() * 1000)
        self.epoch = time.monotonic()
        self.alive = True
        self.token = 0
        self.until = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.serial = 0
        self.sequence = 0
        self.ended = asyncio.Event()

    def get_clock(self):
        """Return the worker's clock in milliseconds."""
        return int((time.monotonic() - self.epoch) * 1000)

    def note(self, event, **fields):
        """Record an event of this worker."""
        self.cluster.log(event, worker=self.id, machine=self.machine, **fields)

    def start(self, body):
        """Start a run; return the HTTP status and the reason of a refusal."""
        task, number = body['task'], body['run']
        known = self.runs.get(task)
        self.until = max(self.until, self.limit(body['untilMs']))
        if known is not None and known.number == number:
            return 200, ''
        if known is not None or number <= self.highest.get(task, 0):
            return 409, 'old'
        now = self.get_clock()
        if body['untilMs'] <= now:
            return 409, 'late'
        run = Run(task, number, body['spec'], now)
        self.runs[task] = run
        self.note('start', task=task, run=number)
        seconds = self.cluster.works(run.spec)
        if seconds is not None:
            run.ends = now + int(1000 * seconds)
        return 200, ''

    def limit(self, until):
        """Return the end of a lease, shortened to the longest one."""
        return min(until, self.get_clock() + HOLD_MAX_MS)

    def stop(self, body):
        """Stop a run and refuse its start from now on."""
        task, number = body['task'], body['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stops is None:
            run.stops = self.get_clock() + STOP_MS

    def hold(self, body):
        """Renew the lease and forget the ends that are taken note of."""
        if 'untilMs' in body:
            self.until = max(self.until, self.limit(body['untilMs']))
        observed = body['observed']
        for row in self.ends:
            if row[0] <= observed:
                self.note('observed', task=row[1], run=row[2], how=row[3])
        self.ends = [row for row in self.ends if row[0] > observed]

    def advance(self):
        """End the runs whose time has come."""
        now = self.get_clock()
        for run in list(self.runs.values()):
            if now >= self.until:
                self.end(run, 'lapsed')
            elif run.stops is not None and now >= run.stops:
                self.end(run, 'stopped')
            elif run.ends is not None and now >= run.ends:
                self.end(run, 'done')

    def end(self, run, how):
        """End a run and list its end."""
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.serial += 1
        self.ends.append([self.serial, run.task, run.number, how, ''])
        self.note('end', task=run.task, run=run.number, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def list_runs(self):
        """Return the rows of the list of running runs."""
        now = self.get_clock()
        rows = []
        for run in self.runs.values():
            percent = 100
            if run.ends is not None:
                length = max(run.ends - run.began, 1)
                percent = int(100 * (now - run.began) / length)
            rows.append([run.task, run.number, '', min(percent, 100), 0])
        return rows


class Handler(web.RequestHandler):
    """Answers the calls of the worker's agent."""

    def initialize(self, machine):
        """Set the machine whose worker answers."""
        self.machine = machine

    async def post(self, call):
        """Answer one call."""
        worker = self.machine.worker
        if worker is None:
            self.request.connection.stream.close()
            return
        worker.advance()
        target = self.request.headers.get('X-Target-Instance', worker.id)
        if target != worker.id:
            self.answer(worker, 421, {})
            return
        body = json.loads(self.request.body)
        if body.get('fencingToken', 0) < worker.token:
            self.answer(worker, 409, {'reason': 'fence'})
            return
        worker.token = body.get('fencingToken', 0)
        match call:
            case 'run-start':
                status, reason = worker.start(body)
                if reason:
                    worker.note('refused', task=body['task'], reason=reason)
                self.answer(worker, status, {'reason': reason})
            case 'run-stop':
                worker.stop(body)
                self.answer(worker, 200, {})
            case 'hold':
                await self._hold(worker, body)

    async def _hold(self, worker, body):
        worker.hold(body)
        deadline = time.monotonic() + min(body.get('waitMs', 0), 2000) / 1000
        while not worker.ends and worker.alive:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(worker.ended.wait(), min(left, 0.05))
            except TimeoutError:
                worker.advance()
        if not worker.alive:
            self.request.connection.stream.close()
            return
        lists = {
            'running': worker.list_runs(),
            'finished': worker.ends[:MAX_ENDS],
        }
        self.answer(worker, 200, lists)

    def answer(self, worker, status, body):
        """Answer with the worker's clock and birth."""
        fields = {key: value for key, value in body.items() if value != ''}
        fields['clockMs'] = worker.get_clock()
        fields['born'] = worker.born
        self.set_status(status)
        self.finish(json.dumps(fields))


class Machine:
    """A `side` machine's worker, which may crash and start again.

    :param control: address of the machine's agent for pings.
    """

    def __init__(self, cluster, name, address, port, control, profile):
        self.cluster = cluster
        self.name = name
        self.worker = None
        self._address = address
        self._port = port
        self._control = control
        self._profile = profile
        self._server = None
        self._pings = None
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    def start(self):
        """Start a worker."""
        self.worker = Worker(self.cluster, self.name)
        handlers = [('/damaskpin/(.*)', Handler, {'machine': self})]
        self._server = httpserver.HTTPServer(web.Application(handlers))
        self._server.listen(self._port, self._address)
        self._pings = asyncio.ensure_future(self._send_pings(self.worker))
        self.worker.note('worker started')

    async def crash(self):
        """Crash the worker: all that it runs ends, and nobody listens."""
        worker = self.worker
        self.worker = None
        worker.alive = False
        lost = {run.task: run.number for run in worker.runs.values()}
        worker.note('worker crashed', lost=lost)
        worker.runs.clear()
        self._pings.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    async def _send_pings(self, worker):
        while True:
            worker.sequence += 1
            worker.advance()
            body = {
                'addr': f'{self._address}:{self._port}',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldLeftMs': 0,
                'clockMs': worker.get_clock(),
                'born': worker.born,
                'sequence': worker.sequence,
                **self._profile,
            }
            request = httpclient.HTTPRequest(
                f'http://{self._control}/damaskpin/workers/{worker.id}'
                '/heartbeat',
                method='POST',
                body=json.dumps(body),
                headers={'Content-Type': 'application/json'},
                request_timeout=1.0,
            )
            try:
                await self._client.fetch(request, raise_error=False)
            except (OSError, httpclient.HTTPError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_S)
