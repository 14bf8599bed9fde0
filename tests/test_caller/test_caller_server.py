"""Tests of invalid requests to one entry process."""

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
PROBLEM_CONTENT_TYPE = 'application/problem+json'
BORROWER_HEADERS = {'Authorization': 'Bearer token-borrower'}
DETACHED_HEADERS = {**BORROWER_HEADERS, 'Prefer': 'respond-async'}
OPERATOR_HEADERS = {'Authorization': f'Bearer {fleets.OPERATOR_TOKEN}'}
SERVICE_PATH = '/v1/services/shortlist'


class EntryClient:
    """HTTP client of one entry process that has no agents."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.address = urllib.parse.urlsplit(fleet.urls[0]).netloc

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[http.client.HTTPResponse, Any]:
        """Send one request; return the response and its JSON document."""
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
        expected_text: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Check that a request is refused and the entry stays alive."""
        answer, problem = self.send(method, path, body, headers)
        assert answer.status == status, problem
        assert answer.headers['Content-Type'] == PROBLEM_CONTENT_TYPE
        assert problem['status'] == status
        assert (
            expected_text in f'{problem["title"]}: {problem.get("detail", "")}'
        )
        assert 'Traceback' not in json.dumps(problem)
        if method == 'POST':
            assert answer.headers['Damaskpin-Verdict'] == 'not-run'
        health, _ = self.send('GET', '/healthz')
        assert health.status == 200


@pytest.fixture(scope='module')
def entry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[EntryClient]:
    """Start one entry process and apply a configuration to it."""
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
        yield EntryClient(fleet)
    finally:
        fleet.stop_all()


def make_spec(**fields: Any) -> bytes:
    return json.dumps({'accelerators': 1, **fields}).encode()


def test_oversized_body_is_refused(entry):
    """Guards against status 400 without a reason for an oversized body."""
    entry.check_problem(
        413,
        str(body_limit.MAX_BODY_BYTES),
        'POST',
        SERVICE_PATH,
        b'x' * (body_limit.MAX_BODY_BYTES + 1),
        BORROWER_HEADERS,
    )


def test_oversized_chunked_body_is_refused(entry):
    """Guards against a size limit that checks only Content-Length."""
    chunk = b'x' * 100_000
    entry.check_problem(
        413,
        str(body_limit.MAX_BODY_BYTES),
        'POST',
        SERVICE_PATH,
        iter([chunk] * 11),
        BORROWER_HEADERS,
    )


@pytest.mark.parametrize('length', ['20000000', '9' * 5000])
def test_huge_declared_length_is_refused(entry, length):
    """Guards against reading a body whose declared length is too large."""
    headers = {**BORROWER_HEADERS, 'Content-Length': length}
    entry.check_problem(413, 'larger', 'POST', SERVICE_PATH, b'x', headers)


def test_body_of_maximum_size_is_accepted(entry):
    """Guards against a body size limit that is one byte too small."""
    body = b'x' * body_limit.MAX_BODY_BYTES
    headers = {**BORROWER_HEADERS, 'Damaskpin-Deadline': '0.2'}
    answer, problem = entry.send('POST', SERVICE_PATH, body, headers)
    assert answer.status == 503, problem
    assert answer.headers['Damaskpin-Verdict'] == 'not-run'


def test_failed_job_lookup_has_no_verdict(entry):
    """Guards against a failed lookup that seems to say that no job ran."""
    answer, problem = entry.send(
        'GET', '/v1/jobs/unknown', None, BORROWER_HEADERS
    )
    assert answer.status == 404
    assert 'Damaskpin-Verdict' not in answer.headers
    assert 'verdict' not in problem


@pytest.mark.parametrize(
    ('body', 'expected_text'),
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
def test_invalid_job_is_refused(entry, body, expected_text):
    """Guards against status 500 or acceptance of an invalid job."""
    entry.check_problem(
        400, expected_text, 'POST', '/v1/jobs', body, DETACHED_HEADERS
    )


@pytest.mark.parametrize(
    ('headers', 'expected_text'),
    [
        ({}, 'Token missing'),
        ({'Authorization': 'Bearer '}, 'Token missing'),
        ({'Authorization': 'Basic abc'}, 'Token missing'),
        ({'Authorization': 'Bearer wrong'}, 'Token unknown'),
        ({'Authorization': 'Bearer ' + 'x' * 9000}, 'Token unknown'),
        ({'Authorization': 'Bearer \xe9'}, 'Token unknown'),
        ({**BORROWER_HEADERS, 'Damaskpin-Account': 'holder'}, 'Token unknown'),
        (
            {'Authorization': 'Bearer \xe9', 'Damaskpin-Account': 'holder'},
            'Token unknown',
        ),
    ],
)
def test_missing_or_wrong_token_is_refused(entry, headers, expected_text):
    """Guards against work that starts without authentication."""
    entry.check_problem(
        401, expected_text, 'POST', SERVICE_PATH, b'x', headers
    )
    entry.check_problem(
        401, expected_text, 'POST', '/v1/jobs', make_spec(), headers
    )


@pytest.mark.parametrize(
    'path', ['/v1/config', '/v1/config/status', '/v1/report', '/v1/members']
)
@pytest.mark.parametrize('token', ['token-borrower', '\xe9'])
def test_operator_paths_require_operator_token(entry, path, token):
    """Guards against callers that read documents for operators only."""
    headers = {'Authorization': f'Bearer {token}'}
    entry.check_problem(401, 'Token unknown', 'GET', path, None, headers)


def test_job_of_another_account_is_not_found(entry):
    """Guards against access to the jobs of another client account."""
    headers = {**DETACHED_HEADERS, 'Idempotency-Key': 'own'}
    answer, document = entry.send('POST', '/v1/jobs', make_spec(), headers)
    assert answer.status == 202, document
    other_account = {'Authorization': 'Bearer token-holder'}
    for method, path in (
        ('GET', f'/v1/jobs/{document["id"]}'),
        ('DELETE', f'/v1/jobs/{document["id"]}'),
        ('GET', f'/v1/explain/{document["id"]}'),
    ):
        entry.check_problem(
            404, 'not known', method, path, None, other_account
        )


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
def test_invalid_header_is_refused(entry, name, value):
    """Guards against acceptance of header values out of their range."""
    headers = {**BORROWER_HEADERS, name: value}
    entry.check_problem(400, name, 'POST', SERVICE_PATH, b'x', headers)


@pytest.mark.parametrize('revision', ['', 'x', '-1', '\xb2', '9' * 5000])
def test_invalid_if_match_is_refused(entry, revision):
    """Guards against status 500 for an If-Match that is not a revision."""
    headers = {
        **OPERATOR_HEADERS,
        'If-Match': revision,
        'Damaskpin-Change-Token': 'token-of-change',
    }
    entry.check_problem(428, 'If-Match', 'PUT', '/v1/config', b'{}', headers)


@pytest.mark.parametrize('path', ['/', '/v1', '/v1/jobs/a/b', '/v1/services/'])
def test_unknown_path_is_refused(entry, path):
    """Guards against an HTML error page for a path that does not exist."""
    entry.check_problem(404, 'Not found', 'POST', path, b'x', BORROWER_HEADERS)


@pytest.mark.parametrize('path', ['/v1/explain/x', '/healthz', '/v1/config'])
def test_wrong_method_is_refused(entry, path):
    """Guards against an HTML error page for an unsupported method."""
    entry.check_problem(405, 'Method', 'POST', path, b'x', BORROWER_HEADERS)


def test_forwarded_request_is_not_forwarded_again(entry):
    """Guards against entries that forward a request in a loop."""
    token = server.make_peer_token(b'fleet-key-for-tests')
    headers = {
        'Authorization': f'Bearer {token}',
        'Damaskpin-Account': 'borrower',
    }
    answer, document = entry.send('GET', '/v1/explain/x', None, headers)
    assert answer.status == 200, document
    assert document == {'work': 'x', 'history': [], 'now': []}


def test_gang_larger_than_any_rack_is_refused(entry):
    """Guards against jobs that stay queued although no rack can hold them."""
    body = make_spec(accelerators=128, adjacency='rack')
    answer, problem = entry.send('POST', '/v1/jobs', body, BORROWER_HEADERS)
    assert answer.status in (409, 422), problem
    assert answer.headers['Damaskpin-Verdict'] == 'not-run'
