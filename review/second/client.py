"""Client of the entries."""

import asyncio
import json
import time

from tornado import httpclient

from review.second import fleet as fleets

TIMEOUT_MS = 3000


class Client:
    """Sends requests to the entries of a fleet and records the answers."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=50
        )

    async def send(self, entry, method, path, body=None, key=fleets.KEY):
        """Send a request to an entry.

        :returns: status and body; the status is 0 without an answer.
        """
        address = f'{entry.ip}:{self._fleet.ports["front"]}'
        headers = {'Host': fleets.HOST, 'X-Timeout-Ms': str(TIMEOUT_MS)}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        data = None if body is None else json.dumps(body)
        status, answer = 0, {}
        try:
            response = await self._http.fetch(
                f'http://{address}{path}',
                method=method,
                body=data,
                headers=headers,
                request_timeout=TIMEOUT_MS / 1000,
                raise_error=False,
                allow_nonstandard_methods=True,
            )
            status = response.code
            answer = json.loads(response.body or b'{}')
        except (OSError, ValueError, httpclient.HTTPError):
            pass
        if status == 599:
            status = 0
        self._fleet.record.write(
            f'{method} {path}', entry=entry.name, status=status, body=answer
        )
        return status, answer

    async def submit(self, job, steps, work_ms, **fields):
        """Submit a job at the first entry until it is accepted.

        :raises TimeoutError: it was not accepted within 20 s.
        """
        entry = self._fleet.entries[0]
        await self.submit_at(entry, job, steps, work_ms, **fields)

    async def submit_at(self, entry, job, steps, work_ms, **fields):
        """Submit a job at an entry until it is accepted.

        :raises TimeoutError: it was not accepted within 20 s.
        """
        body = {'spec': json.dumps({'work_ms': work_ms}), 'steps': steps}
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            status, _ = await self.send(
                entry, 'POST', fleets.PREFIX + job, {**body, **fields}
            )
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise TimeoutError(f'job {job} was not accepted')

    async def wait_for_state(self, job, state, seconds):
        """Wait until a job is shown in a state.

        :raises TimeoutError: it was not within some seconds.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            _, answer = await self.send(
                self._fleet.entries[0], 'GET', fleets.PREFIX + job
            )
            if answer.get('state') == state:
                return
            await asyncio.sleep(0.5)
        raise TimeoutError(f'job {job} is not {state}')


async def wait_for(find, seconds, what):
    """Return what a function finds, once that is true.

    :raises TimeoutError: it was not within some seconds.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = find()
        if found:
            return found
        await asyncio.sleep(0.02)
    raise TimeoutError(what)
