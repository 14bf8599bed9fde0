"""Client that submits, cancels and queries jobs at random entries."""

from __future__ import annotations

import asyncio
import json
import time

from tornado import httpclient

from soak import fleet as fleets

# Time limit that requests state, in milliseconds, and time in seconds after
# which an answer counts as missing.
TIME_LIMIT_MS = 2000
REQUEST_TIMEOUT_S = 2.2

FINAL_STATES = ('completed', 'failed', 'canceled')


class JobClient:
    """Submits random jobs and cancels some of them, each at a random entry.

    :ivar accepted: ids of the jobs whose submission was answered with 200.
    :ivar refused: ids of the jobs whose submissions were all answered with
        429 or 503.
    :ivar withdrawn: ids of the jobs that were not accepted and whose cancel
        was answered with 410.
    :ivar failed: reasons of the accepted jobs that are shown as failed.
    """

    def __init__(self, fleet, rng, durations, oracle):
        self._oracle = oracle
        self._fleet = fleet
        self._rng = rng
        self._durations = durations
        self._http_client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=50
        )
        self.accepted = set()
        self.refused = set()
        self.withdrawn = set()
        self.failed = {}

    async def submit_job(self, cancel=False):
        """Submit a random job, up to four times until it is accepted.

        A job that may have been stored is cancelled in the end.

        :param cancel: whether to cancel the job 0 to 1.5 s after acceptance.
        """
        job = f'{self._rng.getrandbits(64):016x}'
        spec = f'{job}-content'
        self._durations[spec] = self._rng.choice([0.2, 1.0, 3.0])
        gang = self._rng.random() < 0.3
        step = {'count': self._rng.randint(1, 3), 'cpu': 1000, 'gpu': 1}
        step['estimateMs'] = int(1000 * self._durations[spec])
        if gang:
            step['gang'] = True
        steps = [step]
        if self._rng.random() < 0.3:
            steps.append({**step, 'after': [0]})
        self._oracle.failures.add_job(job, steps)
        body = json.dumps({'spec': spec, 'steps': steps}).encode()
        statuses = []
        for _ in range(4):
            status, _ = await self.send_request('POST', job, body)
            statuses.append(status)
            if status == 200:
                self.accepted.add(job)
                if cancel:
                    await self._cancel(job)
                return
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        if all(status in (429, 503) for status in statuses):
            self.refused.add(job)
        elif await self._cancel(job) == 410:
            self.withdrawn.add(job)

    async def _cancel(self, job):
        """Cancel a job after a random delay and record the acknowledgement.

        :returns: HTTP status of the answer.
        """
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        status, _ = await self.send_request('DELETE', job)
        if status in (200, 410):
            self._oracle.record_cancelled(job)
        return status

    async def send_request(self, method, job, body=None):
        """Send a request about a job to a random entry.

        :returns: HTTP status and JSON body; the status is 0 if the entry gave
            no response.
        """
        entry = self._rng.choice(self._fleet.entries)
        address = entry.settings['listen']['front']
        request = httpclient.HTTPRequest(
            f'http://{address}{fleets.PREFIX}{job}',
            method=method,
            body=body,
            headers={
                'Host': fleets.HOST,
                'Authorization': f'Bearer {fleets.KEY}',
                'X-Timeout-Ms': str(TIME_LIMIT_MS),
            },
            request_timeout=REQUEST_TIMEOUT_S,
            connect_timeout=1.0,
        )
        started = time.monotonic()
        try:
            response = await self._http_client.fetch(
                request, raise_error=False
            )
        except (OSError, httpclient.HTTPError):
            self._check_time_limit(entry, method, job, started)
            return 0, {}
        try:
            return response.code, json.loads(response.body or b'{}')
        except ValueError:
            text = response.body[:200].decode('utf-8', 'replace')
            # Entries send no Server header; the simulated services do.
            server = response.headers.get('Server', 'an entry')
            self._oracle.violations.append(
                f'{method} {job} at {entry.name}, {time.strftime("%X")}: '
                f'{response.code} by {server}: {text}'
            )
            return response.code, {}

    def _check_time_limit(self, entry, method, job, started):
        """Report an entry that ran and did not answer in time."""
        seconds = time.monotonic() - started
        if seconds < REQUEST_TIMEOUT_S:
            return
        if entry.has_run_undisturbed_since(started):
            self._oracle.violations.append(
                f'{method} {job} at {entry.name}, {time.strftime("%X")}: '
                f'no answer within {seconds:.2f} s'
            )

    async def list_unfinished(self):
        """Return a description of each accepted job without a final state."""
        unfinished = set()
        for job in self.accepted:
            status, body = await self.send_request('GET', job)
            if status != 200 or body.get('state') not in FINAL_STATES:
                unfinished.add(f'{job}: {status} {body}')
            elif body['state'] == 'failed':
                self.failed[job] = body.get('reason', '')
        return unfinished
