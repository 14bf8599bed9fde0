"""Stand-in of a worker, as a process of its own.

The only argument is the path of a JSON file with the settings. Starts, ends
and calls are written as JSON lines to the file named there, with the time of
the machine's monotonic clock in seconds.
"""

import asyncio
import json
import sys
import time

from tornado import httpclient
from tornado import httpserver
from tornado import web

TICK_S = 0.01

# A gap between two ticks from which the machine was suspended; the worker's
# steady clock does not count that time.
SUSPENSION_S = 1.0

MAX_LISTED_ENDS = 500


class SteadyClock:
    """Clock of the worker, which stands still while it is suspended."""

    def __init__(self):
        self._last = time.monotonic()
        self._elapsed = 0.0

    def read_ms(self):
        """Return the milliseconds since the worker's start."""
        now = time.monotonic()
        gap = now - self._last
        self._last = now
        if gap < SUSPENSION_S:
            self._elapsed += gap
        return int(self._elapsed * 1000)


class Worker:
    """Runs, ends and lease of one lifetime of a worker.

    :param settings: settings file of the stand-in.
    :param log: file for the events.
    """

    def __init__(self, settings, log):
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.clock = SteadyClock()
        self.fence = 0
        self.sequence = 0
        self._log = log
        self._lease_end = 0
        self._running = {}
        self._highest = {}
        self._ended = []
        self._serial = 0
        self.end_listed = asyncio.Event()

    def record(self, event, **fields):
        """Write an event to the log."""
        line = {
            'at': round(time.monotonic(), 3),
            'worker': self.settings['id'],
            'event': event,
            **fields,
        }
        self._log.write(json.dumps(line) + '\n')
        self._log.flush()

    def advance(self):
        """End the runs that are due."""
        now = self.clock.read_ms()
        for task, run in list(self._running.items()):
            ends = [(run['done_at'], 'done'), (self._lease_end, 'lapsed')]
            if run['stopped_at'] is not None:
                ends.append((run['stopped_at'], 'stopped'))
            end, how = min(ends)
            if now >= end:
                self._end(task, run, how)

    def hold(self, body):
        """Take the acknowledged ends and the lease of a call."""
        self._ended = [r for r in self._ended if r[0] > body['observed']]
        self._extend(body.get('untilMs', 0))

    def start(self, body):
        """Start a run; return the status and the reason of a refusal."""
        task, number = body['task'], body['run']
        run = self._running.get(task)
        if run is not None and run['run'] == number:
            return 200, ''
        now = self.clock.read_ms()
        self._extend(body['untilMs'])
        if number <= self._highest.get(task, 0):
            return 409, 'old'
        if self._lease_end <= now or body['untilMs'] <= now:
            return 409, 'late'
        work_ms = json.loads(body['spec'])['work_ms']
        self._running[task] = {
            'run': number,
            'began': now,
            'work_ms': work_ms,
            'done_at': now + work_ms,
            'stopped_at': None,
        }
        self.record('start', task=task, run=number, spec=body['spec'])
        return 200, ''

    def stop(self, body):
        """Stop a run and refuse it from now on."""
        task, number = body['task'], body['run']
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run is None or run['run'] != number or run['stopped_at']:
            return
        run['stopped_at'] = self.clock.read_ms() + self.settings['stopMs']
        self.record('stop ordered', task=task, run=number)

    def list_runs(self):
        """Return the lists of running and ended runs."""
        now = self.clock.read_ms()
        running = []
        for task, run in self._running.items():
            share = (now - run['began']) / max(run['work_ms'], 1)
            row = [task, run['run'], '', min(int(100 * share), 99), 0]
            running.append(row)
        return {
            'running': running,
            'finished': self._ended[:MAX_LISTED_ENDS],
        }

    def has_ends(self):
        """Return whether an end has not been acknowledged."""
        return bool(self._ended)

    def make_heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.settings['service'],
            'addr': self.settings['app'],
            'zone': self.settings['zone'],
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'capacity': self.settings['capacity'],
            'labels': self.settings['labels'],
            'clockMs': self.clock.read_ms(),
            'born': self.born,
            'sequence': self.sequence,
        }

    def _extend(self, until):
        longest = self.clock.read_ms() + self.settings['holdMaxMs']
        self._lease_end = max(self._lease_end, min(until, longest))

    def _end(self, task, run, how):
        del self._running[task]
        self._highest[task] = max(self._highest.get(task, 0), run['run'])
        self._serial += 1
        self._ended.append([self._serial, task, run['run'], how, ''])
        self.record('end', task=task, run=run['run'], how=how)
        self.end_listed.set()


class _Handler(web.RequestHandler):
    def initialize(self, worker):
        self.worker = worker

    async def post(self, method):
        worker = self.worker
        body = json.loads(self.request.body)
        worker.advance()
        name = self.request.headers.get('X-Target-Instance')
        if name != worker.settings['id']:
            self._send(421, {})
            return
        if body['fencingToken'] < worker.fence:
            self._send(409, {'reason': 'fence'})
            return
        worker.fence = body['fencingToken']
        match method:
            case 'run-start':
                status, reason = worker.start(body)
                self._send(status, {'reason': reason} if reason else {})
            case 'run-stop':
                worker.stop(body)
                self._send(200, {})
            case _:
                worker.hold(body)
                await self._wait_for_end(body.get('waitMs', 0) / 1000)
                worker.advance()
                self._send(200, worker.list_runs())

    async def _wait_for_end(self, seconds):
        if not seconds or self.worker.has_ends():
            return
        self.worker.end_listed.clear()
        try:
            await asyncio.wait_for(self.worker.end_listed.wait(), seconds)
        except TimeoutError:
            pass

    def _send(self, status, body):
        common = {
            'clockMs': self.worker.clock.read_ms(),
            'born': self.worker.born,
        }
        self.set_status(status)
        self.finish(json.dumps({**common, **body}))


async def send_heartbeats(worker):
    """Send a heartbeat to the agent in each interval until cancelled."""
    client = httpclient.AsyncHTTPClient()
    settings = worker.settings
    url = f'http://{settings["control"]}/damaskpin/workers/{settings["id"]}'
    while True:
        try:
            await client.fetch(
                f'{url}/heartbeat',
                method='POST',
                body=json.dumps(worker.make_heartbeat()),
                request_timeout=1.0,
            )
        except (OSError, httpclient.HTTPError):
            # The agent is down or cut off; the next heartbeat follows.
            pass
        await asyncio.sleep(settings['heartbeatMs'] / 1000)


async def run(settings):
    """Serve the agent until the process ends."""
    with open(settings['log'], 'a', encoding='utf-8') as log:
        worker = Worker(settings, log)
        application = web.Application(
            [
                (
                    '/damaskpin/(hold|run-start|run-stop)',
                    _Handler,
                    {'worker': worker},
                )
            ]
        )
        host, _, port = settings['app'].rpartition(':')
        httpserver.HTTPServer(application).listen(int(port), host)
        heartbeats = asyncio.ensure_future(send_heartbeats(worker))
        while not heartbeats.done():
            worker.advance()
            await asyncio.sleep(TICK_S)


if __name__ == '__main__':
    with open(sys.argv[1], encoding='utf-8') as file:
        asyncio.run(run(json.load(file)))
