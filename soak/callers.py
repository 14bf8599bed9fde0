"""Callers that hand jobs in and ask for them."""

from __future__ import annotations

import asyncio
import json
import time

from tornado import httpclient

from soak import fleet as fleets

FINAL = ('completed', 'failed', 'canceled')


class Callers:
    """Hands jobs in at any entry, as clients do.

    :ivar accepted: jobs with a 2xx.
    :ivar refused: jobs that got nothing but refusals.
    """

    def __init__(self, fleet, rng, durations, oracle):
        self._oracle = oracle
        self._fleet = fleet
        self._rng = rng
        self._durations = durations
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=50
        )
        self.accepted = set()
        self.refused = set()

    async def hand_in(self, cancel=False):
        """Hand a job in, with a few repeats.

        :param cancel: whether to cancel it some time after it was accepted.
        """
        job = f'{self._rng.getrandbits(64):016x}'
        name = f'{job}-content'
        self._durations[name] = self._rng.choice([0.2, 1.0, 3.0])
        gang = self._rng.random() < 0.3
        step = {'count': self._rng.randint(1, 3), 'cpu': 1000, 'gpu': 1}
        step['estimateMs'] = int(1000 * self._durations[name])
        if gang:
            step['gang'] = True
        steps = [step]
        if self._rng.random() < 0.3:
            steps.append({**step, 'after': [0]})
        body = json.dumps({'spec': name, 'steps': steps}).encode()
        statuses = []
        for _ in range(4):
            status, _ = await self.call('POST', job, body)
            statuses.append(status)
            if status == 200:
                self.accepted.add(job)
                if cancel:
                    await self._cancel(job)
                return
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        if all(status in (429, 503) for status in statuses):
            self.refused.add(job)

    async def _cancel(self, job):
        """Cancel a job after a while; nothing of it starts long after."""
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        status, _ = await self.call('DELETE', job)
        if status in (200, 410):
            self._oracle.note_cancelled(job)

    async def call(self, method, job, body=None):
        """Call any entry; returns status (0 without an answer) and body."""
        entry = self._rng.choice(self._fleet.entries)
        address = entry.settings['listen']['front']
        request = httpclient.HTTPRequest(
            f'http://{address}{fleets.PREFIX}{job}',
            method=method,
            body=body,
            headers={
                'Host': fleets.HOST,
                'Authorization': f'Bearer {fleets.KEY}',
                'X-Timeout-Ms': '2000',
            },
            request_timeout=2.2,
            connect_timeout=1.0,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return 0, {}
        if answer.code == 599:
            return 0, {}
        try:
            return answer.code, json.loads(answer.body or b'{}')
        except ValueError:
            text = answer.body[:200].decode('utf-8', 'replace')
            # Entries name no server; the stand-ins do.
            server = answer.headers.get('Server', 'an entry')
            self._oracle.violations.append(
                f'{method} {job} at {entry.name}, {time.strftime("%X")}: '
                f'{answer.code} by {server}: {text}'
            )
            return answer.code, {}

    async def list_open(self):
        """Return the accepted jobs that are not shown as completed."""
        left = set()
        for job in self.accepted:
            status, body = await self.call('GET', job)
            if status != 200 or body.get('state') not in FINAL:
                left.add(f'{job}: {status} {body}')
        return left
