"""Runs the demo session: both kinds of work, from start to end.

Prints one JSON line for each step and exits with 0 only if all went as
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

URGENT_START_S = 7.6
CONFIG_IN_FORCE_S = 9.0
READY_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 30.0
POLL_S = 0.1
TOKEN_PREFIX = 'demo-'
BURST_REQUESTS = 60
BURST_JOBS = 12


class Session:
    """Steps of the demo and their outcome.

    :param urls: URLs of the entries.
    :param operator_token: the operators' token.
    :param service: service that requests are sent to.
    """

    __slots__ = (
        '_operator',
        '_operators',
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
        self._operator = clients.Client(self._urls, operator_token)
        self._operators = [
            clients.Client([url], operator_token) for url in self._urls
        ]
        self._started = time.monotonic()
        self.failed: list[str] = []

    def make_client(self, account: str, first: int = 0) -> clients.Client:
        """Return a client of an account.

        :param first: index of the entry that is tried first.
        """
        urls = self._urls[first:] + self._urls[:first]
        return clients.Client(urls, TOKEN_PREFIX + account)

    def report(
        self, step: str, expected: bool, verdict: str, **facts: Any
    ) -> None:
        """Print what happened in a step."""
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
        """Wait until the entries hear each other and all agents report."""

        async def is_complete() -> bool:
            return len(await self._collect_revisions()) >= processes

        started = time.monotonic()
        ready = await _poll(is_complete, READY_TIMEOUT_S)
        self.report(
            'start', ready, '', seconds=round(time.monotonic() - started, 2)
        )

    async def apply_config(self, config: configs.Config) -> None:
        """Apply the configuration and wait until it is in force."""
        body = configs.format_config(config)
        status = await self._operator.fetch('GET', '/v1/config/status')
        started = time.monotonic()
        answer = await self._operator.fetch(
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
            is_in_force, CONFIG_IN_FORCE_S
        )
        self.report(
            'configuration',
            in_force,
            document['state'],
            seconds=round(time.monotonic() - started, 2),
            detail=document,
            behind=behind,
        )

    async def run_requests(self, account: str) -> None:
        """Send a burst of requests through all entries."""
        calls = []
        for number in range(BURST_REQUESTS):
            client = self.make_client(account, number % len(self._urls))
            calls.append(self._run_request(client, number))
        verdicts = await asyncio.gather(*calls)
        whole = sum(verdicts)
        self.report(
            'request burst',
            whole == BURST_REQUESTS,
            'ran',
            whole_answers=whole,
            sent=BURST_REQUESTS,
        )

    async def repeat_request(self, account: str) -> None:
        """Repeat a non-idempotent request at another entry."""
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
        same = (
            first_answer.verdict == second_answer.verdict == 'ran'
            and first_answer.body == second_answer.body
        )
        self.report('repeat at another entry', same, second_answer.verdict)

    async def run_burst(self, account: str) -> None:
        """Submit a burst of small jobs and wait for all of them."""
        spec = _make_spec(1, hardware.Adjacency.WORKER, 1.0)
        client = self.make_client(account)
        ids = [(await client.submit(spec)).attempt for _ in range(BURST_JOBS)]
        states = [await self.wait_job(client, job_id) for job_id in ids]
        ended = [state['verdict'] for state in states]
        self.report(
            'burst of small jobs',
            ended == ['ran'] * BURST_JOBS,
            'ran',
            jobs=BURST_JOBS,
        )
        client.close()

    async def run_gang(self, account: str) -> None:
        """Run an attached gang of 16 in one rack."""
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

    async def reclaim(
        self,
        borrowers: list[configs.Account],
        owner: str,
        shape: configs.Guarantee,
    ) -> None:
        """Let other accounts fill the fleet, and one reclaim its shape."""
        spec = _make_spec(8, hardware.Adjacency.WORKER, 6.0)
        lent: list[tuple[clients.Client, str]] = []
        for borrower in borrowers:
            lender = self.make_client(borrower.name)
            for _ in range(borrower.quota // spec.accelerators):
                lent.append((lender, (await lender.submit(spec)).attempt))
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

        began = await _poll(is_started, URGENT_START_S)
        seconds = round(time.monotonic() - started, 2)
        state = await self.wait_job(client, answer.attempt)
        self.report(
            'reclaim',
            began and state['verdict'] == 'ran',
            state['verdict'],
            job=answer.attempt,
            started_after=seconds,
        )
        states = [await self.wait_job(lender, job) for lender, job in lent]
        ended = [state['verdict'] for state in states]
        reclaimed = 0
        for lender, job_id in lent:
            text = await self._explain(lender, job_id)
            reclaimed += 'reclaimed' in text
        self.report(
            'borrowers continue after the reclaim',
            ended == ['ran'] * len(lent) and reclaimed > 0,
            'ran',
            jobs=len(lent),
            reclaimed=reclaimed,
        )
        client.close()

    async def cancel(self, account: str) -> None:
        """Cancel a running job."""
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
        state = await self.wait_job(client, job_id)
        self.report(
            'cancelled job',
            running and state['verdict'] == 'may-have-run',
            state['verdict'] or '',
            job=job_id,
            reason=state['reason'],
        )
        client.close()

    async def refuse(self, account: str) -> None:
        """Submit a job that can never run."""
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
        """Return the document of a job."""
        answer = await client.fetch('GET', f'/v1/jobs/{job_id}')
        return {'state': '', 'verdict': None, **answer.read_json()}

    async def wait_job(
        self, client: clients.Client, job_id: str
    ) -> dict[str, Any]:
        """Wait until a job has a verdict, or the time is over."""
        document: dict[str, Any] = {}

        async def is_concluded() -> bool:
            document.update(await self.read_job(client, job_id))
            return document['verdict'] is not None

        await _poll(is_concluded, JOB_TIMEOUT_S)
        return document

    async def _collect_revisions(self) -> dict[str, int]:
        """Return the applied revision of each process of all regions."""
        revisions: dict[str, int] = {}
        for client in self._operators:
            shown = await client.fetch('GET', '/v1/config/status')
            for name, revision in shown.read_json()['processes'].items():
                known = revisions.get(name, revision)
                revisions[name] = min(known, revision)
        return revisions

    async def _run_request(self, client: clients.Client, number: int) -> bool:
        body = json.dumps({'number': number, 'sleep': 0.2}).encode()
        answer = await client.run(self._service, body)
        client.close()
        return answer.verdict == 'ran' and answer.body == body

    async def _explain(self, client: clients.Client, work: str) -> str:
        answer = await client.fetch('GET', f'/v1/explain/{work}')
        return answer.body.decode()


def run(
    entries: str, operator_token: str, deployment: str = 'shortlist'
) -> None:
    """Run the session.

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
    owner, shape = _find_large_shape(config)
    borrower = max(
        (account for account in config.accounts if account.name != owner),
        key=lambda account: account.quota,
    )
    lenders = [item for item in config.accounts if item.name != owner]
    await session.run_requests(borrower.name)
    await session.repeat_request(borrower.name)
    await session.run_burst(borrower.name)
    await session.run_gang(owner)
    await session.reclaim(lenders, owner, shape)
    await session.cancel(borrower.name)
    await session.refuse(borrower.name)
    return session.failed


def _find_large_shape(
    config: configs.Config,
) -> tuple[str, configs.Guarantee]:
    found = [
        (account.name, shape)
        for account in config.accounts
        for shape in account.guarantees
    ]
    return max(found, key=lambda item: item[1].accelerators)


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


async def _poll(check: Callable[[], Awaitable[bool]], timeout: float) -> bool:
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if await check():
                return True
        except errors.DamaskpinError:
            pass
        await asyncio.sleep(POLL_S)
    return False


if __name__ == '__main__':
    fire.Fire(run)
