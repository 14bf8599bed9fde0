"""Snapshot tests of whole caller sessions with real processes.

A snapshot holds the responses that a caller sees, in order. Ids, times and
ports are replaced by stable names. Where the order of events is not
determined, they are sorted.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
from typing import Any
from typing import TYPE_CHECKING
import uuid

import msgspec
import pytest

from damaskpin.model import hardware
from damaskpin.model import job as jobs
from tests.test_daemon import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterator
    from collections.abc import Sequence
    import pathlib

    from syrupy import assertion

    from damaskpin.caller import client as clients

START_TIMEOUT_S = 7.6
# A target that stopped its announcements receives no requests after this time.
ANNOUNCEMENT_TTL_S = 3.0
REQUEST_HEADERS = {'Damaskpin-Deadline': '20'}

_REPLACEMENTS = (
    (re.compile(r'\b[0-9a-f]{16,}\b'), '<hex>'),
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\b(agent|worker|entry)-\d+'), r'\1-<n>'),
    (re.compile(r'\b\d+(\.\d+)? s\b'), '<t> s'),
)


class Session:
    """Records the responses that the callers of one session see.

    :param fleet: running fleet that serves the callers.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.lines: list[str] = []
        self._names: dict[str, str] = {}

    async def send_request(
        self,
        client: clients.Client,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        name: str = '',
    ) -> clients.Response:
        """Send a request and record its response.

        :param name: stable name of the request or job that is started.
        """
        answer = await client.fetch(method, path, body, headers, 30.0)
        if name and answer.attempt:
            self._names[answer.attempt] = name
        self.record_line(
            f'{method} {path} -> {answer.status}, '
            f'verdict {answer.verdict or "none"}, '
            f'retry-after {"yes" if answer.retry_after else "no"}, '
            f'{_summarize(answer)}'
        )
        return answer

    async def submit(
        self, client: clients.Client, spec: jobs.JobSpec, name: str
    ) -> str:
        """Submit a detached job and return its id."""
        answer = await self.send_request(
            client,
            'POST',
            '/v1/jobs',
            msgspec.json.encode(spec),
            {
                'Prefer': 'respond-async',
                'Idempotency-Key': str(uuid.uuid4()),
            },
            name,
        )
        return answer.attempt

    async def wait_state(
        self, client: clients.Client, job_id: str, state: str, timeout: float
    ) -> None:
        """Wait until a job reaches a state, then record the state."""

        last_job = {}

        async def has_reached_state() -> bool:
            answer = await client.fetch('GET', f'/v1/jobs/{job_id}')
            last_job.update(answer.read_json())
            return last_job['state'] == state

        try:
            await fleets.wait_for(has_reached_state, timeout)
        except AssertionError as error:
            raise AssertionError(f'{error}; last seen: {last_job}') from error
        self.record_line(f'GET /v1/jobs/{job_id} -> state {state}')

    async def explain(
        self, client: clients.Client, work: str, *, unordered: bool = False
    ) -> None:
        """Record the sequence of events of a request or job.

        :param unordered: record the set of events instead.
        """
        path = f'/v1/explain/{work}'
        answer = await client.fetch('GET', path)
        history = answer.read_json()['history']
        events = [line['event'] for line in history]
        if unordered:
            events = sorted(set(events))
        self.record_line(f'GET {path} -> {answer.status}, events {events}')

    def set_name(self, work: str, name: str) -> None:
        """Give a request or job another stable name."""
        self._names[work] = name

    def record_line(self, text: str) -> None:
        """Record a line of text with stable names."""
        for work, name in self._names.items():
            text = text.replace(work, f'<{name}>')
        for pattern, replacement in _REPLACEMENTS:
            text = pattern.sub(replacement, text)
        self.lines.append(text)


class RunningFleet:
    """A fleet with the event loop that its clients are bound to.

    :param folder: folder for the log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.runner = asyncio.Runner()
        self.fleet = self.run(self._make_fleet(folder))

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the event loop of the fleet."""
        return self.runner.run(work)

    async def _make_fleet(self, folder: pathlib.Path) -> fleets.Fleet:
        return fleets.Fleet(folder)


@pytest.fixture(scope='module')
def running_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[RunningFleet]:
    """Yield one fleet for all tests; each leaves it idle and complete."""
    created = RunningFleet(tmp_path_factory.mktemp('fleet'))
    try:
        created.fleet.start_all()
        created.run(created.fleet.wait_ready())
        yield created
    finally:
        created.fleet.stop_all()
        created.runner.close()


def make_body(seconds: float) -> bytes:
    return json.dumps({'sleep': seconds}).encode()


def make_spec(
    accelerators: int, seconds: float, **job_fields: Any
) -> jobs.JobSpec:
    return jobs.JobSpec(
        accelerators=accelerators,
        adjacency=hardware.Adjacency.RACK,
        run_seconds=seconds,
        command=['sleep', f'{seconds:g}'],
        **job_fields,
    )


async def wait_idle(fleet: fleets.Fleet) -> None:
    """Wait until no worker runs a task."""

    async def is_idle() -> bool:
        return not await fleet.list_tasks()

    await fleets.wait_for(is_idle, 20.0)


async def cancel_all(
    session: Session, client: clients.Client, job_ids: Sequence[str]
) -> None:
    for job_id in job_ids:
        await session.send_request(client, 'DELETE', f'/v1/jobs/{job_id}')
    await wait_idle(session.fleet)


def test_session_of_success(
    running_fleet: RunningFleet, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against changed responses for successful requests and jobs."""

    async def scenario(session: Session) -> None:
        client = session.fleet.make_client('borrower', 'entry-1')
        answer = await session.send_request(
            client,
            'POST',
            '/v1/services/shortlist',
            make_body(0.1),
            REQUEST_HEADERS,
            'request',
        )
        await session.explain(client, answer.attempt)
        job_id = await session.submit(client, make_spec(8, 0.5), 'job')
        await session.wait_state(client, job_id, 'ran', START_TIMEOUT_S + 5.0)
        await session.explain(client, job_id)
        await wait_idle(session.fleet)

    session = Session(running_fleet.fleet)
    running_fleet.run(scenario(session))
    assert session.lines == snapshot


def test_session_of_cancellation(
    running_fleet: RunningFleet, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against cancelled jobs that run on or show a wrong state."""

    async def scenario(session: Session) -> None:
        client = session.fleet.make_client('borrower', 'entry-1')
        other = session.fleet.make_client('borrower', 'entry-2')
        other_account_client = session.fleet.make_client('holder', 'entry-2')
        job_id = await session.submit(
            client, make_spec(8, 60.0, idempotent=False), 'job'
        )
        await session.wait_state(client, job_id, 'running', START_TIMEOUT_S)
        await session.send_request(
            other_account_client, 'DELETE', f'/v1/jobs/{job_id}'
        )
        await session.send_request(other, 'DELETE', f'/v1/jobs/{job_id}')
        await wait_idle(session.fleet)
        await session.wait_state(
            client, job_id, 'may-have-run', START_TIMEOUT_S
        )
        await session.explain(client, job_id)

    session = Session(running_fleet.fleet)
    running_fleet.run(scenario(session))
    assert session.lines == snapshot


def test_session_of_retry_at_another_entry(
    running_fleet: RunningFleet, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against a second run of a request that may run only once.

    The request is repeated with the same idempotency key at another entry.
    """

    async def scenario(session: Session) -> None:
        headers = {
            **REQUEST_HEADERS,
            'Damaskpin-Idempotent': 'false',
            'Idempotency-Key': 'key-of-the-retry',
        }
        before = await session.fleet.count_executions()
        for entry in ('entry-1', 'entry-2'):
            client = session.fleet.make_client('borrower', entry)
            await session.send_request(
                client,
                'POST',
                '/v1/services/shortlist',
                make_body(0.3),
                headers,
                f'request at {entry}',
            )
        await session.send_request(
            client,
            'POST',
            '/v1/services/shortlist',
            make_body(0.4),
            headers,
            'request with another body',
        )
        after = await session.fleet.count_executions()
        runs = sum(after.values()) - sum(before.values())
        session.record_line(f'executions {runs}')

    session = Session(running_fleet.fleet)
    running_fleet.run(scenario(session))
    assert session.lines == snapshot


def test_session_of_reclaim(
    running_fleet: RunningFleet, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against delayed guaranteed jobs and lost reclaimed jobs."""

    async def scenario(session: Session) -> None:
        borrower = session.fleet.make_client('borrower', 'entry-1')
        holder = session.fleet.make_client('holder', 'entry-2')
        names = [f'borrower {number}' for number in (1, 2, 3)]
        borrower_jobs = [
            await session.submit(borrower, make_spec(8, 60.0), name)
            for name in names
        ]
        for job_id in borrower_jobs:
            await session.wait_state(
                borrower, job_id, 'running', START_TIMEOUT_S
            )
        guaranteed_job = await session.submit(
            holder, make_spec(16, 2.0), 'guaranteed'
        )
        await session.wait_state(
            holder, guaranteed_job, 'running', START_TIMEOUT_S
        )
        states = []
        for job_id in borrower_jobs:
            answer = await borrower.fetch('GET', f'/v1/jobs/{job_id}')
            states.append(answer.read_json()['state'] == 'running')
        session.record_line(f'borrowers that run meanwhile: {sum(states)}')
        await session.wait_state(holder, guaranteed_job, 'ran', 15.0)
        for job_id in borrower_jobs:
            await session.wait_state(borrower, job_id, 'running', 30.0)
        await session.explain(holder, guaranteed_job, unordered=True)
        reclaimed = borrower_jobs[states.index(False)]
        session.set_name(reclaimed, 'a reclaimed borrower')
        await session.explain(borrower, reclaimed, unordered=True)
        session.set_name(reclaimed, names[states.index(False)])
        await cancel_all(session, borrower, borrower_jobs)

    session = Session(running_fleet.fleet)
    running_fleet.run(scenario(session))
    assert session.lines == snapshot


def test_session_of_store_outage(
    running_fleet: RunningFleet, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against wrong verdicts and needless refusals without a store."""

    async def scenario(session: Session) -> None:
        client = session.fleet.make_client('borrower', 'entry-1')
        keyed_headers = {
            **REQUEST_HEADERS,
            'Damaskpin-Idempotent': 'false',
            'Idempotency-Key': 'key-in-the-outage',
        }
        before = await session.submit(client, make_spec(8, 60.0), 'before')
        await session.wait_state(client, before, 'running', START_TIMEOUT_S)
        await session.fleet.set_store_faults(down='503')
        try:
            session.record_line('store down')
            spec = make_spec(8, 0.5)
            await session.submit(client, spec, 'refused')
            await session.send_request(
                client,
                'POST',
                '/v1/services/shortlist',
                make_body(0.1),
                keyed_headers,
                'keyed request',
            )
            await session.send_request(
                client,
                'POST',
                '/v1/services/shortlist',
                make_body(0.1),
                REQUEST_HEADERS,
                'request',
            )
            await session.send_request(
                client,
                'POST',
                '/v1/jobs',
                msgspec.json.encode(spec),
                {},
                'attached',
            )
            outcome = await session.fleet.apply(fleets.make_config(2))
            session.record_line(f'configuration change -> {outcome["state"]}')
            await session.wait_state(client, before, 'running', 1.0)
        finally:
            await session.fleet.set_store_faults(down='')
        session.record_line('store up')

        async def is_accepted() -> bool:
            answer = await client.submit(spec, key='after')
            return answer.status == 202

        await fleets.wait_for(is_accepted, 15.0)
        await cancel_all(session, client, [before])

    session = Session(running_fleet.fleet)
    running_fleet.run(scenario(session))
    assert session.lines == snapshot


def test_session_of_a_target_that_leaves(
    running_fleet: RunningFleet, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against requests lost with, or sent to, a stopped target."""

    async def scenario(session: Session) -> None:
        fleet = session.fleet
        client = fleet.make_client('borrower', 'entry-1')
        calls = [
            asyncio.ensure_future(client.run('shortlist', make_body(1.0)))
            for _ in range(18)
        ]
        await asyncio.sleep(0.4)
        fleet.send_signal('target-3', signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        verdicts = sorted({answer.verdict for answer in answers})
        session.record_line(f'18 requests in progress -> {verdicts}')
        code = await asyncio.to_thread(fleet.wait_exit, 'target-3')
        session.record_line(f'target exits with {code}')
        await asyncio.sleep(ANNOUNCEMENT_TTL_S)
        answers = await asyncio.gather(
            *(client.run('shortlist', make_body(0.2)) for _ in range(12))
        )
        verdicts = sorted({answer.verdict for answer in answers})
        session.record_line(f'12 requests afterwards -> {verdicts}')
        refused = 0
        for answer in answers:
            trail = await client.fetch('GET', f'/v1/explain/{answer.attempt}')
            refused += 'agent-3' in trail.body.decode()
        session.record_line(
            f'requests offered to the agent afterwards: {refused}'
        )

    session = Session(running_fleet.fleet)
    try:
        running_fleet.run(scenario(session))
    finally:
        running_fleet.fleet.restart('target-3')
    assert session.lines == snapshot


def _summarize(answer: clients.Response) -> str:
    try:
        document = answer.read_json()
    except ValueError:
        return f'{len(answer.body)} bytes'
    if 'state' in document:
        return f'state {document["state"]}'
    return json.dumps(document, sort_keys=True)
