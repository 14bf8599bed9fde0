"""Tests of bad input to one entry process."""

from __future__ import annotations

import asyncio
import http.client
import json
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import pytest

from damaskpin.caller import body_limit
from damaskpin.caller import server
from tests.test_daemon import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 10.0
PROBLEM_TYPE = 'application/problem+json'
BORROWER = {'Authorization': 'Bearer token-borrower'}
DETACHED = {**BORROWER, 'Prefer': 'respond-async'}
OPERATOR = {'Authorization': f'Bearer {fleets.OPERATOR_TOKEN}'}
SERVICE = '/v1/services/shortlist'


class Entry:
    """One entry without agents, and plain connections to it."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.address = urllib.parse.urlsplit(fleet.urls[0]).netloc

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[http.client.HTTPResponse, Any]:
        """Send one request and return the answer and its document."""
        connection = http.client.HTTPConnection(
            self.address, timeout=TIMEOUT_S
        )
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            text = answer.read()
        finally:
            connection.close()
        return answer, json.loads(text) if text else None

    def check_problem(
        self,
        status: int,
        words: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Check that a request is refused clearly and the entry goes on."""
        answer, problem = self.send(method, path, body, headers)
        assert answer.status == status, problem
        assert answer.headers['Content-Type'] == PROBLEM_TYPE
        assert problem['status'] == status
        assert words in f'{problem["title"]}: {problem.get("detail", "")}'
        assert 'Traceback' not in json.dumps(problem)
        if method == 'POST':
            assert answer.headers['Damaskpin-Verdict'] == 'not-run'
        alive, _ = self.send('GET', '/healthz')
        assert alive.status == 200


@pytest.fixture(scope='module')
def entry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Entry]:
    """One configured entry process."""
    fleet = fleets.Fleet(tmp_path_factory.mktemp('entry'), 1, 0)

    async def configure() -> None:
        async def is_up() -> bool:
            return bool(await fleet.read_revisions('entry-1'))

        await fleets.wait_for(is_up, fleets.START_TIMEOUT_S)
        outcome = await fleet.apply(fleets.make_config(2))
        assert outcome['state'] == 'accepted'
        await fleets.wait_for(fleet.is_in_force, fleets.START_TIMEOUT_S)

    try:
        fleet.start_all()
        asyncio.run(configure())
        yield Entry(fleet)
    finally:
        fleet.stop_all()


def make_spec(**fields: Any) -> bytes:
    return json.dumps({'accelerators': 1, **fields}).encode()


def test_oversized_body_is_refused(entry):
    """Guards against a bare 400 for a body above the limit."""
    entry.check_problem(
        413,
        str(body_limit.MAX_BODY_BYTES),
        'POST',
        SERVICE,
        b'x' * (body_limit.MAX_BODY_BYTES + 1),
        BORROWER,
    )


def test_oversized_chunked_body_is_refused(entry):
    """Guards against a body whose length is not declared."""
    chunk = b'x' * 100_000
    entry.check_problem(
        413,
        str(body_limit.MAX_BODY_BYTES),
        'POST',
        SERVICE,
        iter([chunk] * 11),
        BORROWER,
    )


@pytest.mark.parametrize('length', ['20000000', '9' * 5000])
def test_huge_declared_length_is_refused(entry, length):
    """Guards against waiting for a body that will be refused."""
    headers = {**BORROWER, 'Content-Length': length}
    entry.check_problem(413, 'larger', 'POST', SERVICE, b'x', headers)


def test_body_of_the_largest_size_is_taken(entry):
    """Guards against a limit that is off by one."""
    body = b'x' * body_limit.MAX_BODY_BYTES
    headers = {**BORROWER, 'Damaskpin-Deadline': '0.2'}
    answer, problem = entry.send('POST', SERVICE, body, headers)
    assert answer.status == 503, problem
    assert answer.headers['Damaskpin-Verdict'] == 'not-run'


def test_refused_question_has_no_verdict(entry):
    """Guards against a question that is read as "the job has not run"."""
    answer, problem = entry.send('GET', '/v1/jobs/unknown', None, BORROWER)
    assert answer.status == 404
    assert 'Damaskpin-Verdict' not in answer.headers
    assert 'verdict' not in problem


@pytest.mark.parametrize(
    ('body', 'words'),
    [
        (b'{', 'Job malformed'),
        (b'', 'Job malformed'),
        (b'\xff\xfe', 'Job malformed'),
        (b'[]', 'Expected `object`'),
        (b'{}', 'accelerators'),
        (make_spec(colour='red'), 'unknown field `colour`'),
        (make_spec(accelerators=-1), '>= 1'),
        (make_spec(accelerators=0), '>= 1'),
        (make_spec(accelerators=10**30), 'accelerators'),
        (make_spec(accelerators=1.5), 'accelerators'),
        (make_spec(accelerators='1'), 'accelerators'),
        (make_spec(run_seconds=-1), 'run_seconds'),
        (make_spec(run_seconds=1e300), 'run_seconds'),
        (make_spec(run_seconds=float('nan')), 'malformed'),
        (make_spec(deadline_seconds=0), 'deadline_seconds'),
        (make_spec(priority=9), 'priority'),
        (make_spec(adjacency='planet'), 'adjacency'),
        (make_spec(shape='../x'), 'shape'),
        (make_spec(command=['x' * 5000]), 'command'),
        (b'[' * 100_000, 'Job malformed'),
    ],
)
def test_bad_job_is_refused(entry, body, words):
    """Guards against jobs outside the declared ranges, and against faults."""
    entry.check_problem(400, words, 'POST', '/v1/jobs', body, DETACHED)


@pytest.mark.parametrize(
    ('headers', 'words'),
    [
        ({}, 'Token missing'),
        ({'Authorization': 'Bearer '}, 'Token missing'),
        ({'Authorization': 'Basic abc'}, 'Token missing'),
        ({'Authorization': 'Bearer wrong'}, 'Token unknown'),
        ({'Authorization': 'Bearer ' + 'x' * 9000}, 'Token unknown'),
        ({'Authorization': 'Bearer \xe9'}, 'Token unknown'),
        ({**BORROWER, 'Damaskpin-Account': 'holder'}, 'Token unknown'),
        (
            {'Authorization': 'Bearer \xe9', 'Damaskpin-Account': 'holder'},
            'Token unknown',
        ),
    ],
)
def test_missing_or_wrong_token_is_refused(entry, headers, words):
    """Guards against work without a proven account."""
    entry.check_problem(401, words, 'POST', SERVICE, b'x', headers)
    entry.check_problem(401, words, 'POST', '/v1/jobs', make_spec(), headers)


@pytest.mark.parametrize(
    'path', ['/v1/config', '/v1/config/status', '/v1/report', '/v1/members']
)
@pytest.mark.parametrize('token', ['token-borrower', '\xe9'])
def test_operators_paths_need_their_token(entry, path, token):
    """Guards against callers that read what belongs to operators."""
    headers = {'Authorization': f'Bearer {token}'}
    entry.check_problem(401, 'Token unknown', 'GET', path, None, headers)


def test_job_of_another_account_is_not_known(entry):
    """Guards against accounts that reach each other's jobs."""
    headers = {**DETACHED, 'Idempotency-Key': 'own'}
    answer, document = entry.send('POST', '/v1/jobs', make_spec(), headers)
    assert answer.status == 202, document
    stranger = {'Authorization': 'Bearer token-holder'}
    for method, path in (
        ('GET', f'/v1/jobs/{document["id"]}'),
        ('DELETE', f'/v1/jobs/{document["id"]}'),
        ('GET', f'/v1/explain/{document["id"]}'),
    ):
        entry.check_problem(404, 'not known', method, path, None, stranger)


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('Idempotency-Key', 'k' * 257),
        ('Damaskpin-Idempotent', 'maybe'),
        ('Damaskpin-Priority', 'royal'),
        ('Damaskpin-Priority', '0'),
        ('Damaskpin-Deadline', 'soon'),
        ('Damaskpin-Deadline', 'nan'),
        ('Damaskpin-Deadline', 'inf'),
        ('Damaskpin-Deadline', '-1'),
        ('Damaskpin-Deadline', '0'),
        ('Damaskpin-Deadline', '1e300'),
        ('Damaskpin-Deadline', '86401'),
    ],
)
def test_bad_header_is_refused(entry, name, value):
    """Guards against header values outside their range."""
    headers = {**BORROWER, name: value}
    entry.check_problem(400, name, 'POST', SERVICE, b'x', headers)


@pytest.mark.parametrize('revision', ['', 'x', '-1', '\xb2', '9' * 5000])
def test_bad_condition_is_refused(entry, revision):
    """Guards against a fault on a revision that is not a number."""
    headers = {
        **OPERATOR,
        'If-Match': revision,
        'Damaskpin-Change-Token': 'token-of-change',
    }
    entry.check_problem(428, 'If-Match', 'PUT', '/v1/config', b'{}', headers)


@pytest.mark.parametrize('path', ['/', '/v1', '/v1/jobs/a/b', '/v1/services/'])
def test_unknown_path_is_refused(entry, path):
    """Guards against an HTML page for a path that does not exist."""
    entry.check_problem(404, 'Not found', 'POST', path, b'x', BORROWER)


@pytest.mark.parametrize('path', ['/v1/explain/x', '/healthz', '/v1/config'])
def test_wrong_method_is_refused(entry, path):
    """Guards against an HTML page for a method that a path lacks."""
    entry.check_problem(405, 'Method', 'POST', path, b'x', BORROWER)


def test_forwarded_question_is_not_forwarded_again(entry):
    """Guards against entries that ask each other in a circle."""
    token = server.make_peer_token(b'fleet-key-for-tests')
    headers = {
        'Authorization': f'Bearer {token}',
        'Damaskpin-Account': 'borrower',
    }
    answer, document = entry.send('GET', '/v1/explain/x', None, headers)
    assert answer.status == 200, document
    assert document == {'work': 'x', 'history': [], 'now': []}


def test_gang_larger_than_any_rack_is_refused(entry):
    """Guards against jobs that wait for hardware that does not exist."""
    body = make_spec(accelerators=128, adjacency='rack')
    answer, problem = entry.send('POST', '/v1/jobs', body, BORROWER)
    assert answer.status in (409, 422), problem
    assert answer.headers['Damaskpin-Verdict'] == 'not-run'
