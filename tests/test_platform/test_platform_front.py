"""Tests of the HTTP interface for clients."""

from __future__ import annotations

import json

from tornado import testing

from damaskpin import telemetry
from damaskpin.model import installation as installations
from damaskpin.platform import front


class _Requests:
    async def submit(self, submission, deadline):
        raise RuntimeError('a fault after the write')


class _Entry:
    def __init__(self):
        self.in_flight = 0
        self.stopping = False
        self.requests = _Requests()
        self.telemetry = telemetry.Telemetry('entry')
        queue = installations.Queue(
            name='q',
            host='h.example',
            prefix='/jobs/',
            service='s',
            priority=0,
            attempts=1,
            stretch=1.0,
            allowance=1.0,
            timeout=3.0,
            anonymous=True,
        )
        self.installation = installations.Installation(
            version=1,
            queues=(queue,),
            services=(),
            accounts=(),
            max_body=10_000,
        )


class HandlerExceptionTest(testing.AsyncHTTPTestCase):
    """Tests the answer to a request whose handler raises an exception."""

    def get_app(self):
        self.entry = _Entry()
        return front.make_client_application(self.entry)

    def test_handler_exception_is_answered_with_status_504(self):
        """Guards against an HTML page with status 500 after a failed request.

        The job may have been stored, which status 504 tells the client.
        """
        body = json.dumps({'spec': 'x', 'steps': [{'count': 1}]})
        answer = self.fetch(
            '/jobs/0123456789abcdef',
            method='POST',
            body=body,
            headers={'Host': 'h.example'},
        )
        assert answer.code == 504
        assert 'error' in json.loads(answer.body)
        assert self.entry.in_flight == 0
