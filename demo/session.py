"""Runs the demo session: sends requests and jobs and checks their outcome.

Prints one JSON line for each step and exits with 0 only if all steps went as
expected.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

import fire

from damaskpin import errors
from damaskpin.caller import client as clients
from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

URGENT_START_TIMEOUT_S = 7.6
CONFIG_TIMEOUT_S = 9.0
READY_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
TOKEN_PREFIX = 'demo-'
BURST_REQUESTS = 60
BURST_JOBS = 12


class Session:
    """Steps of the demo, each of which prints its outcome.

    :param urls: URLs of the entries.
    :param operator_token: the operators' token.
    :param service: service that requests are sent to.
    :ivar entries: number of entries.
    :ivar failed: names of the steps that did not go as expected.
    """

    __slots__ = (
        '_entry_clients',
        '_operator_client',
        '_service',
        '_started',
        '_urls',
        'entries',
        'failed',
    )

    def __init__(
        self, urls: Sequence[str], operator_token: str, service: str
    ) -> None:
        self._urls = list(urls)
        self._service = service
        self.entries = len(self._urls)
        self._operator_client = clients.Client(self._urls, operator_token)
        self._entry_clients = [
            clients.Client([url], operator_token) for url in self._urls
        ]
        self._started = time.monotonic()
        self.failed: list[str] = []

    def make_client(self, account: str, first: int = 0) -> clients.Client:
        """Return a client with the token of an account.

        :param account: name of the client account.
        :param first: index of the entry that is tried first.
        """
        urls = self._urls[first:] + self._urls[:first]
        return clients.Client(urls, TOKEN_PREFIX + account)

    def report(
        self, step: str, expected: bool, verdict: str, **facts: Any
    ) -> None:
        """Print the outcome of a step, and note the step if it failed.

        :param expected: whether the step went as expected.
        :param verdict: verdict on the request or job; empty for none.
        :param facts: further fields of the JSON line.
        """
        line = {
            'step': step,
            'ok': expected,
            'verdict': verdict,
            'at': round(time.monotonic() - self._started, 2),
            **facts,
        }
        print(json.dumps(line), flush=True)
        if not expected:
            self.failed.append(step)

    async def wait_ready(self, processes: int) -> None:
        """Wait until the entries list the configuration of all processes.

        :param processes: number of entries and agents.
        """

        async def is_complete() -> bool:
            return len(await self._collect_revisions()) >= processes

        started = time.monotonic()
        ready = await _poll(is_complete, READY_TIMEOUT_S)
        self.report(
            'start', ready, '', seconds=round(time.monotonic() - started, 2)
        )

    async def apply_config(self, config: configs.Config) -> None:
        """Apply a configuration and wait until all processes use it."""
        body = configs.format_config(config)
        status = await self._operator_client.fetch('GET', '/v1/config/status')
        started = time.monotonic()
        answer = await self._operator_client.fetch(
            'PUT',
            '/v1/config',
            body,
            {
                'If-Match': f'"{status.read_json()["applied"]}"',
                'Damaskpin-Change-Token': str(uuid.uuid4()),
            },
        )
        document = answer.read_json()
        revision = document.get('revision', -1)

        behind: list[str] = []

        async def is_in_force() -> bool:
            revisions = await self._collect_revisions()
            behind[:] = [
                name for name, seen in revisions.items() if seen < revision
            ]
            return not behind

        in_force = document['state'] == 'accepted' and await _poll(
            is_in_force, CONFIG_TIMEOUT_S
        )
        self.report(
            'configuration',
            in_force,
            document['state'],
            seconds=round(time.monotonic() - started, 2),
            detail=document,
            behind=behind,
        )

    async def run_request_burst(self, account: str) -> None:
        """Send a burst of concurrent requests, spread over all entries."""
        calls = []
        for number in range(BURST_REQUESTS):
            client = self.make_client(account, number % len(self._urls))
            calls.append(self._check_request(client, number))
        results = await asyncio.gather(*calls)
        complete_answers = sum(results)
        self.report(
            'request burst',
            complete_answers == BURST_REQUESTS,
            'ran',
            whole_answers=complete_answers,
            sent=BURST_REQUESTS,
        )

    async def repeat_request(self, account: str) -> None:
        """Repeat a non-idempotent request, with its key, at another entry."""
        key = str(uuid.uuid4())
        body = json.dumps({'rank': 'once'}).encode()
        answers = []
        for first in range(2):
            client = self.make_client(account, first)
            answers.append(
                await client.run(
                    self._service, body, idempotent=False, key=key
                )
            )
            client.close()
        first_answer, second_answer = answers
        same_answer = (
            first_answer.verdict == second_answer.verdict == 'ran'
            and first_answer.body == second_answer.body
        )
        self.report(
            'repeat at another entry', same_answer, second_answer.verdict
        )

    async def run_job_burst(self, account: str) -> None:
        """Submit a burst of small jobs and wait until all have ended."""
        spec = _make_spec(1, hardware.Adjacency.WORKER, 1.0)
        client = self.make_client(account)
        ids = [(await client.submit(spec)).attempt for _ in range(BURST_JOBS)]
        states = [await self.wait_for_job(client, job_id) for job_id in ids]
        verdicts = [state['verdict'] for state in states]
        self.report(
            'burst of small jobs',
            verdicts == ['ran'] * BURST_JOBS,
            'ran',
            jobs=BURST_JOBS,
        )
        client.close()

    async def run_gang(self, account: str) -> None:
        """Run a gang on 16 accelerators of one rack and wait for its end."""
        client = self.make_client(account)
        started = time.monotonic()
        answer = await client.submit(
            _make_spec(16, hardware.Adjacency.RACK, 2.0), detached=False
        )
        self.report(
            'gang of 16',
            answer.verdict == 'ran',
            answer.verdict,
            job=answer.attempt,
            seconds=round(time.monotonic() - started, 2),
        )
        client.close()

    async def reclaim_guarantee(
        self,
        borrowers: list[configs.Account],
        owner: str,
        shape: configs.Guarantee,
    ) -> None:
        """Fill the fleet with other accounts' jobs and reclaim a guarantee.

        :param borrowers: accounts whose jobs use up their quotas.
        :param owner: name of the account that reclaims.
        :param shape: guarantee that the account reclaims.
        """
        spec = _make_spec(8, hardware.Adjacency.WORKER, 6.0)
        borrowed: list[tuple[clients.Client, str]] = []
        for borrower in borrowers:
            borrower_client = self.make_client(borrower.name)
            for _ in range(borrower.quota // spec.accelerators):
                borrowed.append(
                    (
                        borrower_client,
                        (await borrower_client.submit(spec)).attempt,
                    )
                )
        await asyncio.sleep(3.0)
        client = self.make_client(owner)
        started = time.monotonic()
        answer = await client.submit(
            _make_spec(
                shape.accelerators, shape.adjacency, 1.0, shape=shape.name
            )
        )

        async def is_started() -> bool:
            document = await self.read_job(client, answer.attempt)
            return document['state'] in ('running', 'ran')

        started_in_time = await _poll(is_started, URGENT_START_TIMEOUT_S)
        seconds = round(time.monotonic() - started, 2)
        state = await self.wait_for_job(client, answer.attempt)
        self.report(
            'reclaim',
            started_in_time and state['verdict'] == 'ran',
            state['verdict'],
            job=answer.attempt,
            started_after=seconds,
        )
        states = [
            await self.wait_for_job(borrower_client, job_id)
            for borrower_client, job_id in borrowed
        ]
        verdicts = [state['verdict'] for state in states]
        reclaimed = 0
        for borrower_client, job_id in borrowed:
            text = await self._fetch_explanation(borrower_client, job_id)
            reclaimed += 'reclaimed' in text
        self.report(
            'borrowers continue after the reclaim',
            verdicts == ['ran'] * len(borrowed) and reclaimed > 0,
            'ran',
            jobs=len(borrowed),
            reclaimed=reclaimed,
        )
        client.close()

    async def cancel_job(self, account: str) -> None:
        """Submit a job and cancel it while it runs."""
        client = self.make_client(account)
        answer = await client.submit(
            _make_spec(2, hardware.Adjacency.WORKER, 60.0)
        )
        job_id = answer.attempt

        async def is_running() -> bool:
            document = await self.read_job(client, job_id)
            return document['state'] == 'running'

        running = await _poll(is_running, JOB_TIMEOUT_S)
        await client.fetch('DELETE', f'/v1/jobs/{job_id}')
        state = await self.wait_for_job(client, job_id)
        self.report(
            'cancelled job',
            running and state['verdict'] == 'may-have-run',
            state['verdict'] or '',
            job=job_id,
            reason=state['reason'],
        )
        client.close()

    async def submit_unrunnable_job(self, account: str) -> None:
        """Submit a job for 128 accelerators, more than any worker has."""
        client = self.make_client(account)
        answer = await client.submit(
            _make_spec(128, hardware.Adjacency.WORKER, 1.0), detached=False
        )
        self.report(
            'job that can never run',
            answer.verdict == 'not-run',
            answer.verdict,
            job=answer.attempt,
            reason=answer.read_json().get('detail'),
        )
        client.close()

    async def read_job(
        self, client: clients.Client, job_id: str
    ) -> dict[str, Any]:
        """Return the JSON document that describes a job."""
        answer = await client.fetch('GET', f'/v1/jobs/{job_id}')
        return {'state': '', 'verdict': None, **answer.read_json()}

    async def wait_for_job(
        self, client: clients.Client, job_id: str
    ) -> dict[str, Any]:
        """Wait until a job has a verdict or the time-out passes.

        :returns: the last document of the job.
        """
        document: dict[str, Any] = {}

        async def has_verdict() -> bool:
            document.update(await self.read_job(client, job_id))
            return document['verdict'] is not None

        await _poll(has_verdict, JOB_TIMEOUT_S)
        return document

    async def _collect_revisions(self) -> dict[str, int]:
        """Return the lowest applied revision reported for each process."""
        revisions: dict[str, int] = {}
        for client in self._entry_clients:
            answer = await client.fetch('GET', '/v1/config/status')
            for name, revision in answer.read_json()['processes'].items():
                lowest = revisions.get(name, revision)
                revisions[name] = min(lowest, revision)
        return revisions

    async def _check_request(
        self, client: clients.Client, number: int
    ) -> bool:
        body = json.dumps({'number': number, 'sleep': 0.2}).encode()
        answer = await client.run(self._service, body)
        client.close()
        return answer.verdict == 'ran' and answer.body == body

    async def _fetch_explanation(
        self, client: clients.Client, job_id: str
    ) -> str:
        answer = await client.fetch('GET', f'/v1/explain/{job_id}')
        return answer.body.decode()


def run(
    entries: str, operator_token: str, deployment: str = 'shortlist'
) -> None:
    """Run the demo session.

    :param entries: URLs of the entries, separated by commas.
    :param operator_token: the operators' token.
    :param deployment: example deployment, ``shortlist`` or ``repair``.
    """
    urls = entries.split(',') if isinstance(entries, str) else list(entries)
    body = (pathlib.Path('examples') / deployment / 'config.json').read_bytes()
    failed = asyncio.run(
        _run_session(
            Session(urls, operator_token, deployment),
            configs.parse_config(body),
        )
    )
    if failed:
        raise SystemExit(1)


async def _run_session(session: Session, config: configs.Config) -> list[str]:
    workers = sum(rack.workers for rack in config.racks)
    await session.wait_ready(processes=workers + session.entries)
    await session.apply_config(config)
    owner, shape = _find_largest_shape(config)
    largest_borrower = max(
        (account for account in config.accounts if account.name != owner),
        key=lambda account: account.quota,
    )
    borrowers = [item for item in config.accounts if item.name != owner]
    await session.run_request_burst(largest_borrower.name)
    await session.repeat_request(largest_borrower.name)
    await session.run_job_burst(largest_borrower.name)
    await session.run_gang(owner)
    await session.reclaim_guarantee(borrowers, owner, shape)
    await session.cancel_job(largest_borrower.name)
    await session.submit_unrunnable_job(largest_borrower.name)
    return session.failed


def _find_largest_shape(
    config: configs.Config,
) -> tuple[str, configs.Guarantee]:
    shapes = [
        (account.name, shape)
        for account in config.accounts
        for shape in account.guarantees
    ]
    return max(shapes, key=lambda item: item[1].accelerators)


def _make_spec(
    accelerators: int,
    adjacency: hardware.Adjacency,
    seconds: float,
    shape: str | None = None,
) -> jobs.JobSpec:
    return jobs.JobSpec(
        accelerators=accelerators,
        adjacency=adjacency,
        run_seconds=seconds,
        shape=shape,
        command=['sleep', f'{seconds:g}'],
    )


async def _poll(
    condition: Callable[[], Awaitable[bool]], timeout: float
) -> bool:
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if await condition():
                return True
        except errors.DamaskpinError:
            pass
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


if __name__ == '__main__':
    fire.Fire(run)
