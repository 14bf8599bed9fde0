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
HOLD_MAX_MS = 10_000
STOP_MS = 100
GANG_WAIT_MS = 3000
MAX_ENDS = 500

LIFETIME_COUNT = itertools.count(1)


class Cluster:
    """What all workers share: the work, and a gang's members at work.

    :ivar works: function that tells how long a work item works, in seconds,
        by its job's spec; ``None`` for one that lasts.
    :ivar fails_after: seconds of work after which a run fails that is faulty
        or was started on a bad worker.
    :ivar faulty_runs: numbers of the runs that fail by their own fault.
    :ivar gangs: number of members of a gang, by the job's spec.
    :ivar members: workers with a member, by job, step, occurrence and run.
    :ivar log: function that records an event.
    """

    def __init__(self, works, log):
        self.works = works
        self.log = log
        self.fails_after = 1.5
        self.faulty_runs = set()
        self.gangs = {}
        self.members = {}
        self.workers = []


class Run:
    """A run of a work item on a worker; times are the worker's clock.

    :ivar fails: monotonic time in seconds at which the run fails by the
        fault of its worker; ``None`` for one that does not.
    """

    def __init__(self, task, number, spec, began):
        self.task = task
        self.number = number
        self.spec = spec
        self.began = began
        self.at_work_since = began
        self.is_bad = False
        self.ends = None
        self.fails = None
        self.stops = None

    @property
    def gang(self):
        """Return the key of the gang's run."""
        return (*self.task.split('.')[:3], self.number)


class Worker:
    """One life of a worker on a machine.

    :ivar is_bad: whether all that is started now fails.
    """

    def __init__(self, cluster, machine, former_id=''):
        self.cluster = cluster
        self.machine = machine
        self.id = former_id or f'i-{next(LIFETIME_COUNT):08x}'
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
        self.is_bad = False
        self.ended = asyncio.Event()
        cluster.workers.append(self)

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
        run.is_bad = self.is_bad or number in self.cluster.faulty_runs
        self.runs[task] = run
        self.note('start', task=task, run=number)
        size = self.cluster.gangs.get(run.spec)
        if size is None:
            self.begin(run, time.monotonic())
            return 200, ''
        members = self.cluster.members.setdefault(run.gang, {})
        members[task] = (self, run)
        if len(members) == size:
            moment = time.monotonic()
            for worker, member in members.values():
                worker.begin(member, moment)
        return 200, ''

    def begin(self, run, moment):
        """Let a run work from a moment on, which all members share."""
        now = int((moment - self.epoch) * 1000)
        run.at_work_since = now
        if run.is_bad:
            run.fails = moment + self.cluster.fails_after
        seconds = self.cluster.works(run.spec)
        if seconds is not None:
            run.ends = now + int(1000 * seconds)

    def limit(self, until):
        """Return the end of a lease, shortened to the longest one."""
        return min(until, self.get_clock() + HOLD_MAX_MS)

    def stop(self, body):
        """Stop a run and refuse its start from now on."""
        task, number = body['task'], body['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stops is None:
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
            if run.task not in self.runs:
                continue
            if now >= self.until:
                self.end(run, 'lapsed')
            elif run.stops is not None and now >= run.stops:
                self.end(run, 'stopped')
            elif self.is_due_to_fail(run):
                self.end(run, 'failed')
            elif run.ends is not None and now >= run.ends:
                self.end(run, 'done')
            elif self.is_alone(run):
                self.end(run, 'alone')

    def is_alone(self, run):
        """Return whether a member has waited too long for the others."""
        if run.spec not in self.cluster.gangs or run.ends is not None:
            return False
        return self.get_clock() - run.began >= GANG_WAIT_MS

    def is_due_to_fail(self, run):
        """Return whether a run fails now by its worker's fault."""
        return run.fails is not None and time.monotonic() >= run.fails

    def end(self, run, how):
        """End a run, and what depends on it."""
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.serial += 1
        self.ends.append([self.serial, run.task, run.number, how, ''])
        self.note('end', task=run.task, run=run.number, how=how)
        self.ended.set()
        self.ended = asyncio.Event()
        members = self.cluster.members.get(run.gang, {})
        if members.pop(run.task, None) is None:
            return
        if how in ('alone', 'broken'):
            return
        for worker, member in list(members.values()):
            if member.task not in worker.runs:
                continue
            if how == 'done':
                worker.end(member, 'done')
            elif how == 'failed' and worker.is_due_to_fail(member):
                # Both fail at the same time, each by its own worker's fault.
                worker.end(member, 'failed')
            elif member.ends is not None:
                worker.end(member, 'broken')

    def list_runs(self):
        """Return the rows of the list of running runs."""
        now = self.get_clock()
        rows = []
        for run in self.runs.values():
            percent = 100
            if run.ends is not None:
                length = max(run.ends - run.at_work_since, 1)
                percent = int(100 * (now - run.at_work_since) / length)
            elif run.spec in self.cluster.gangs:
                percent = 0
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
        if call == 'run-start' and self.machine.delay is not None:
            self.machine.delay_start(worker, body)
            await asyncio.sleep(30)
            return
        if body.get('fencingToken', 0) < worker.token:
            self.answer(worker, 409, {'reason': 'fence'})
            return
        worker.token = body.get('fencingToken', 0)
        match call:
            case 'run-start':
                status, reason = worker.start(body)
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
    :ivar delay: seconds after which the next start is carried out without an
        answer; ``None`` to carry it out at once.
    """

    def __init__(self, cluster, name, address, port, control, profile):
        self.cluster = cluster
        self.name = name
        self.worker = None
        self.delay = None
        self._late_starts = []
        self._address = address
        self._port = port
        self._control = control
        self._profile = profile
        self._server = None
        self._pings = None
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    def delay_start(self, worker, body):
        """Carry a start out later, by the process that is up then."""
        worker.note('start is late', task=body['task'], run=body['run'])
        due = time.monotonic() + self.delay
        self.delay = None
        self._late_starts.append((due, worker.id, body))
        asyncio.get_running_loop().call_later(
            due - time.monotonic(), self.carry_out_late_starts
        )

    def carry_out_late_starts(self):
        """Carry out the late starts that are due, if a process is up."""
        worker = self.worker
        for row in list(self._late_starts):
            due, target, body = row
            if worker is None or time.monotonic() < due:
                continue
            self._late_starts.remove(row)
            if target == worker.id and body['fencingToken'] >= worker.token:
                worker.token = body['fencingToken']
                worker.start(body)

    def start(self, former_id=''):
        """Start a worker.

        :param former_id: id of the worker before, if it keeps that.
        """
        self.worker = Worker(self.cluster, self.name, former_id)
        handlers = [('/damaskpin/(.*)', Handler, {'machine': self})]
        self._server = httpserver.HTTPServer(web.Application(handlers))
        self._server.listen(self._port, self._address)
        self._pings = asyncio.ensure_future(self._send_pings(self.worker))
        self.worker.note('worker started')
        self.carry_out_late_starts()

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
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_S)
