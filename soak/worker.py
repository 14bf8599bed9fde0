"""Stand-in of a worker over HTTP: runs take their time and end done."""

from __future__ import annotations

import asyncio
import json
import time

from tornado import httpclient
from tornado import httpserver
from tornado import web

STOP_S = 0.3
HEARTBEAT_S = 0.5


class Worker:
    """One lifetime of a worker.

    :param name: id of the worker.
    :param control: address of the agent beside it.
    :param oracle: hears of each start and end.
    """

    def __init__(self, name, control, oracle, durations):
        self.name = name
        self.control = control
        self.oracle = oracle
        self.durations = durations
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.serial = 0
        self.sequence = 0
        self.late = 0.0
        self.alive = True

    def get_clock(self):
        return int(time.monotonic() * 1000)

    def advance(self):
        """End what is done, was stopped or has lapsed."""
        now = self.get_clock()
        for task, run in list(self.running.items()):
            if run['stops'] is not None and now >= run['stops']:
                self._end(task, 'stopped', run['stops'])
            elif now >= min(run['ends'], self.until):
                lapsed = self.until < run['ends']
                how = 'lapsed' if lapsed else 'done'
                self._end(task, how, min(run['ends'], self.until))

    def hold(self, body):
        if 'untilMs' in body:
            self.until = max(self.until, body['untilMs'])
        seen = body['observed']
        self.oracle.note_observed(self, seen)
        self.ended = [row for row in self.ended if row[0] > seen]

    def list_rows(self):
        now = self.get_clock()
        rows = []
        for task, run in self.running.items():
            length = max(run['ends'] - run['began'], 1)
            percent = int(100 * (now - run['began']) / length)
            rows.append([task, run['run'], '', min(percent, 99), 0])
        return rows

    def start(self, body):
        task, number = body['task'], body['run']
        known = self.running.get(task)
        if known is not None and known['run'] == number:
            return 200, ''
        now = self.get_clock()
        self.until = max(self.until, body['untilMs'])
        if number <= self.highest.get(task, 0):
            return 409, 'old'
        if body['untilMs'] <= now:
            return 409, 'late'
        self.oracle.note_start(self, task, number)
        ends = now + int(1000 * self.durations[body['spec']])
        self.running[task] = {
            'run': number,
            'began': now,
            'ends': ends,
            'stops': None,
        }
        return 200, ''

    def stop(self, body):
        task, number = body['task'], body['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run['run'] == number and run['stops'] is None:
            run['stops'] = self.get_clock() + int(STOP_S * 1000)

    def _end(self, task, how, when):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run['run'])
        self.serial += 1
        self.ended.append([self.serial, task, run['run'], how, ''])
        self.oracle.note_end(self, task, run['run'], how, self.serial)

    async def beat(self):
        """Send heartbeats until cancelled."""
        client = httpclient.AsyncHTTPClient()
        while True:
            self.sequence += 1
            body = {
                'service': 's',
                'addr': '127.0.0.1:1',
                'zone': 'z',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldLeftMs': 0,
                'capacity': {'cpu': 8000, 'memMb': 8000, 'gpu': 8},
                'labels': ['a', 'r1'],
                'clockMs': self.get_clock(),
                'born': self.born,
                'sequence': self.sequence,
            }
            url = f'http://{self.control}/damaskpin/workers/{self.name}'
            try:
                await client.fetch(
                    f'{url}/heartbeat',
                    method='POST',
                    body=json.dumps(body),
                    request_timeout=1.0,
                )
            except (OSError, httpclient.HTTPError):
                # The agent is down; the next heartbeat finds it.
                pass
            await asyncio.sleep(HEARTBEAT_S)


class Handler(web.RequestHandler):
    """All calls of the worker."""

    def initialize(self, worker):
        self.worker = worker

    async def post(self, name):
        worker = self.worker
        body = json.loads(self.request.body)
        worker.advance()
        late = name != 'hold' and worker.oracle.rng.random() < worker.late
        if late:
            await asyncio.sleep(worker.oracle.rng.uniform(0.6, 2.5))
            worker.advance()
        if not worker.alive:
            self.request.connection.stream.close()
            return
        status, reason = 200, ''
        if body['fencingToken'] < worker.fence:
            status, reason = 409, 'fence'
        else:
            worker.fence = body['fencingToken']
            match name:
                case 'hold':
                    worker.hold(body)
                case 'run-start':
                    status, reason = worker.start(body)
                case 'run-stop':
                    worker.stop(body)
        answer = {'clockMs': worker.get_clock(), 'born': worker.born}
        if reason:
            answer['reason'] = reason
        if name == 'hold' and status == 200:
            await self._wait(body.get('waitMs', 0) / 1000)
            answer['running'] = worker.list_rows()
            answer['finished'] = worker.ended
        self.set_status(status)
        self.finish(json.dumps(answer))

    async def _wait(self, seconds):
        ends = time.monotonic() + seconds
        while not self.worker.ended and time.monotonic() < ends:
            await asyncio.sleep(0.02)
            self.worker.advance()


def serve(worker, port):
    """Serve a worker on loopback."""
    application = web.Application(
        [
            (
                '/damaskpin/(hold|run-start|run-stop)',
                Handler,
                {'worker': worker},
            )
        ]
    )
    server = httpserver.HTTPServer(application)
    server.listen(port, '127.0.0.1')
    return server
