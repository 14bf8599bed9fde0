"""Tests of the HTTP handlers when the entry raises an error."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import pytest
from tornado import httpclient
from tornado import testing

from damaskpin import errors
from damaskpin.caller import interface
from damaskpin.caller import problems
from damaskpin.caller import server
from tests.test_daemon import fleet as fleets

if TYPE_CHECKING:
    from damaskpin.model import config as configs


class FailingApi:
    """Entry interface that raises a given error for each submission."""

    def __init__(self, error: Exception) -> None:
        self._error = error

    def count_http_request(self):
        pass

    def authenticate(
        self, header: str, forwarded_account: str
    ) -> configs.Account:
        return fleets.make_config(2).accounts[0]

    async def submit_detached_job(self, *arguments: Any) -> interface.Reply:
        raise self._error


@pytest.mark.parametrize(
    ('error', 'status', 'verdict'),
    [
        (errors.RequestError(504, 'Outcome unknown'), 504, 'may-have-run'),
        (RuntimeError('a fault'), 500, 'may-have-run'),
        (errors.RequestError(503, 'Busy', 'full', 2.0), 503, 'not-run'),
        (errors.RequestError(422, 'Key reused'), 422, 'not-run'),
    ],
)
def test_failed_submission_reports_correct_verdict(error, status, verdict):
    """Guards against an error response without a verdict, or a wrong one.

    A caller needs the verdict to decide whether it may submit the job again.
    """

    async def submit() -> httpclient.HTTPResponse:
        socket, port = testing.bind_unused_port(address='127.0.0.1')
        http_server = server.make_server(FailingApi(error))
        http_server.add_socket(socket)
        client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            return await client.fetch(
                f'http://127.0.0.1:{port}/v1/jobs',
                method='POST',
                body=b'{"accelerators": 1}',
                headers={'Prefer': 'respond-async'},
                raise_error=False,
            )
        finally:
            client.close()
            http_server.stop()

    answer = asyncio.run(submit())
    assert answer.code == status
    assert answer.headers['Damaskpin-Verdict'] == verdict
    assert answer.headers['Content-Type'] == problems.CONTENT_TYPE
    assert b'a fault' not in answer.body
