"""Simulated worker: HTTP server whose runs end after a set duration."""

from __future__ import annotations

import asyncio
import json
import time

from tornado import httpclient
from tornado import httpserver
from tornado import web

STOP_DELAY_S = 0.3
HEARTBEAT_INTERVAL_S = 0.5


class Worker:
    """A worker from its start to its crash; times are in milliseconds.

    :param name: id of the worker.
    :param control: address of the agent beside the worker.
    :param oracle: test oracle that is told of each start and end of a run.
    :param durations: seconds that a run takes, by the spec of its job.
    :param clock: function that returns the monotonic time in seconds.
    :ivar start_time: Unix time at which the worker started.
    :ivar fence: highest fencing token that the worker has received.
    :ivar lease_end: monotonic time at which the lease of all runs expires.
    :ivar running: state of the live run, by task.
    :ivar highest_runs: highest run number that ended or was ordered to
        stop, by task; lower and equal numbers may not start.
    :ivar ended: ends of runs that the agent has not acknowledged yet.
    :ivar serial: serial number of the last end of a run.
    :ivar sequence: number of the last heartbeat.
    :ivar late_answer_share: share of the start and stop calls that are
        answered late.
    """

    def __init__(self, name, control, oracle, durations, clock=time.monotonic):
        self.clock = clock
        self.name = name
        self.control = control
        self.oracle = oracle
        self.durations = durations
        self.start_time = int(time.time() * 1000)
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.highest_runs = {}
        self.ended = []
        self.serial = 0
        self.sequence = 0
        self.late_answer_share = 0.0
        self.alive = True

    def get_monotonic_ms(self):
        return int(self.clock() * 1000)

    def advance(self):
        """End the runs that are due, each in the way that comes first."""
        now = self.get_monotonic_ms()
        for task, run in list(self.running.items()):
            if run['stops'] is not None and now >= run['stops']:
                self._end_run(task, 'stopped', run['stops'])
                continue
            ended_at, outcome = self._find_end(task, run)
            if now >= ended_at:
                self._end_run(task, outcome, ended_at)

    def handle_hold(self, body):
        if 'untilMs' in body:
            self.lease_end = max(self.lease_end, body['untilMs'])
        last_serial = body['observed']
        self.oracle.record_acknowledged_ends(self, last_serial)
        self.ended = [row for row in self.ended if row[0] > last_serial]

    def list_runs(self):
        now = self.get_monotonic_ms()
        rows = []
        for task, run in self.running.items():
            duration = max(run['ends'] - run['began'], 1)
            percent = int(100 * (now - run['began']) / duration)
            rows.append([task, run['run'], '', min(percent, 99), 0])
        return rows

    def start_run(self, body):
        task, run_number = body['task'], body['run']
        known = self.running.get(task)
        if known is not None and known['run'] == run_number:
            return 200, ''
        now = self.get_monotonic_ms()
        self.lease_end = max(self.lease_end, body['untilMs'])
        if run_number <= self.highest_runs.get(task, 0):
            return 409, 'old'
        if body['untilMs'] <= now:
            return 409, 'late'
        self.oracle.record_start(self, task, run_number)
        duration = int(1000 * self.durations[body['spec']])
        failure = self.oracle.failures.draw_failure(task, run_number, duration)
        self.running[task] = {
            'run': run_number,
            'began': now,
            'ends': now + duration,
            'fails': None if failure is None else now + failure,
            'stops': None,
        }
        return 200, ''

    def stop_run(self, body):
        task, run_number = body['task'], body['run']
        self.highest_runs[task] = max(
            self.highest_runs.get(task, 0), run_number
        )
        run = self.running.get(task)
        if (
            run is not None
            and run['run'] == run_number
            and run['stops'] is None
        ):
            run['stops'] = self.get_monotonic_ms() + int(STOP_DELAY_S * 1000)

    def _find_end(self, task, run):
        """Return the time and outcome of a run that is not to be stopped."""
        ends = [(run['ends'], 'done'), (self.lease_end, 'lapsed')]
        break_time = self.oracle.failures.get_break_time(task, run['run'])
        if run['fails'] is not None:
            ends.append((run['fails'], 'failed'))
        elif break_time is not None:
            ends.append((break_time, 'broken'))
        return min(ends)

    def _end_run(self, task, outcome, ended_at):
        run = self.running.pop(task)
        self.highest_runs[task] = max(
            self.highest_runs.get(task, 0), run['run']
        )
        self.serial += 1
        self.ended.append([self.serial, task, run['run'], outcome, ''])
        self.oracle.record_end(
            self, task, run['run'], outcome, self.serial, ended_at
        )

    async def send_heartbeats(self):
        """Send heartbeats to the agent until the task is cancelled."""
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
                'clockMs': self.get_monotonic_ms(),
                'born': self.start_time,
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
                # The agent may be down; the next heartbeat follows.
                pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


class Handler(web.RequestHandler):
    """Handles the calls of the agent: hold, run-start and run-stop."""

    def initialize(self, worker):
        self.worker = worker

    async def post(self, method):
        worker = self.worker
        body = json.loads(self.request.body)
        worker.advance()
        answers_late = (
            method != 'hold'
            and worker.oracle.rng.random() < worker.late_answer_share
        )
        if answers_late:
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
            match method:
                case 'hold':
                    worker.handle_hold(body)
                case 'run-start':
                    status, reason = worker.start_run(body)
                case 'run-stop':
                    worker.stop_run(body)
        answer = {
            'clockMs': worker.get_monotonic_ms(),
            'born': worker.start_time,
        }
        if reason:
            answer['reason'] = reason
        if method == 'hold' and status == 200:
            await self._wait_for_end(body.get('waitMs', 0) / 1000)
            answer['running'] = worker.list_runs()
            answer['finished'] = worker.ended
        self.set_status(status)
        self.finish(json.dumps(answer))

    async def _wait_for_end(self, seconds):
        deadline = time.monotonic() + seconds
        while not self.worker.ended and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
            self.worker.advance()


def serve(worker, port):
    """Serve a simulated worker on a port on loopback and return the server."""
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
