"""HTTP handlers of requests that callers send to an entry."""

from __future__ import annotations

import asyncio
import http
import logging
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from tornado import web

from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.caller import headers
from damaskpin.caller import interface
from damaskpin.caller import problems

if TYPE_CHECKING:
    from damaskpin.model import config as configs

LOG = logging.getLogger(__name__)


class BaseHandler(web.RequestHandler):
    """Base class of the HTTP handlers: errors, responses, authentication."""

    def initialize(self, api: interface.EntryInterface) -> None:
        """Store the interface of the entry that handles the request."""
        self.api = api

    def prepare(self) -> None:
        """Count the HTTP request in the metrics of the entry."""
        self.api.count_http_request()

    def set_default_headers(self) -> None:
        """Remove the ``Server`` header, which names the server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write a problem document for an error instead of an HTML page."""
        error = kwargs.get('exc_info', (None, None, None))[1]
        match error:
            case errors.RequestError():
                self._write_request_error(error)
            case web.HTTPError():
                phrase = http.HTTPStatus(status_code).phrase
                self._write_request_error(
                    errors.RequestError(status_code, error.reason or phrase)
                )
            case _:
                self._write_request_error(
                    errors.RequestError(500, 'Internal error')
                )

    def _write_request_error(self, error: errors.RequestError) -> None:
        # Only POST requests start work. If a request that reads a job is
        # refused, this does not tell whether the job has run, so the response
        # has no verdict.
        verdict = ''
        if self.request.method == 'POST':
            known_not_run = error.status < 500 or error.retry_after is not None
            verdict = 'not-run' if known_not_run else 'may-have-run'
            self.set_header('Damaskpin-Verdict', verdict)
        problems.write_problem(self, error, verdict)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log refused requests in one line and other errors with traceback."""
        if isinstance(value, errors.RequestError | web.HTTPError):
            LOG.info(
                'request refused',
                extra={'path': self.request.path, 'reason': str(value)},
            )
            return
        super().log_exception(typ, value, tb)

    def write_reply(self, reply: interface.Reply) -> None:
        """Write a reply as the HTTP response."""
        self.set_status(reply.status)
        self.set_header('Content-Type', reply.content_type)
        for name, value in reply.headers.items():
            self.set_header(name, value)
        if isinstance(reply.document, bytes):
            self.finish(reply.document)
            return
        self.finish(msgspec.json.encode(reply.document) + b'\n')

    def write_verdict(self, work_id: str, verdict: verdicts.Verdict) -> None:
        """Write the result of a request or job, or a problem document.

        :param work_id: id of the request or job.
        :param verdict: whether it ran, and the result if it did.
        """
        verdict_name = verdicts.format_verdict(verdict)
        self.set_header('Damaskpin-Verdict', verdict_name)
        self.set_header('Damaskpin-Attempt', work_id)
        match verdict:
            case verdicts.Ran(answer):
                self.set_status(answer.status)
                self.set_header('Content-Type', answer.content_type)
                self.finish(answer.body)
            case _:
                problems.write_problem(
                    self, problems.make_verdict_error(verdict), verdict_name
                )

    def get_account(self) -> configs.Account:
        """Return the client account that the request is made for."""
        return self.api.authenticate(
            self.request.headers.get('Authorization', ''),
            self.forwarded_account,
        )

    @property
    def forwarded_account(self) -> str:
        """Account for which another entry forwards; empty for callers."""
        return self.request.headers.get('Damaskpin-Account', '')

    def require_operator_token(self) -> None:
        """Raise an error unless the request has the operators' token."""
        self.api.require_operator_token(
            self.request.headers.get('Authorization', '')
        )

    def get_key(self) -> str:
        """Return the idempotency key of the request; empty for none."""
        return headers.parse_key(self.request.headers.get('Idempotency-Key'))


class ServiceHandler(BaseHandler):
    """Handles requests to run a service."""

    _service_request: interface.ServiceRequest | None = None

    async def post(self, service: str) -> None:
        """Run a service request and write its result."""
        request_headers = self.request.headers
        self._service_request = interface.ServiceRequest(
            account=self.get_account(),
            service=service,
            body=self.request.body,
            content_type=request_headers.get(
                'Content-Type', 'application/octet-stream'
            ),
            idempotent=headers.parse_idempotent(
                request_headers.get('Damaskpin-Idempotent')
            ),
            key=self.get_key(),
            priority=headers.parse_priority(
                request_headers.get('Damaskpin-Priority')
            ),
            deadline_seconds=headers.parse_deadline(
                request_headers.get('Damaskpin-Deadline')
            ),
            trace=headers.parse_trace_context(
                request_headers.get('traceparent')
            ),
        )
        work, verdict = await self.api.run_service_request(
            self._service_request
        )
        self._service_request = None
        self.write_verdict(work, verdict)

    def on_connection_close(self) -> None:
        """Cancel the service request when its caller disconnects."""
        if self._service_request is not None:
            self.api.cancel_service_request(self._service_request)


class KeyHandler(BaseHandler):
    """Issues idempotency keys that do not require the store."""

    def post(self) -> None:
        """Issue an idempotency key that is bound to one agent."""
        service = self.get_query_argument('service', '')
        if not service:
            raise errors.RequestError(
                400, 'Parameter missing', 'query parameter service is required'
            )
        self.write_reply(self.api.issue_key(self.get_account(), service))


class JobsHandler(BaseHandler):
    """Handles the submission of jobs and lists jobs."""

    _attached_job: asyncio.Task[tuple[str, verdicts.Verdict]] | None = None

    def get(self) -> None:
        """List the jobs of the caller's account that this entry owns."""
        self.write_reply(self.api.list_jobs(self.get_account().name))

    async def post(self) -> None:
        """Submit a job; wait for it unless ``respond-async`` is preferred."""
        account = self.get_account()
        spec = headers.parse_job_spec(self.request.body)
        prefer_header = self.request.headers.get('Prefer', '')
        if 'respond-async' in prefer_header:
            self.write_reply(
                await self.api.submit_detached_job(
                    account, spec, self.get_key()
                )
            )
            return
        self._attached_job = asyncio.ensure_future(
            self.api.run_attached_job(account, spec, self.get_key())
        )
        try:
            work, verdict = await self._attached_job
        except asyncio.CancelledError:
            return
        self.write_verdict(work, verdict)

    def on_connection_close(self) -> None:
        """Cancel an attached submission when its caller disconnects."""
        if self._attached_job is not None:
            self._attached_job.cancel()


class JobHandler(BaseHandler):
    """Handles requests to read or cancel one job."""

    async def get(self, job_id: str) -> None:
        """Write the state of a job."""
        self.write_reply(
            await self.api.read_job(
                self.get_account().name, job_id, bool(self.forwarded_account)
            )
        )

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        self.write_reply(
            await self.api.cancel_job(
                self.get_account().name, job_id, bool(self.forwarded_account)
            )
        )


class ExplainHandler(BaseHandler):
    """Handles requests for the decision history of a request or job."""

    async def get(self, work: str) -> None:
        """List the decisions about a request or job, with time and reason."""
        self.write_reply(
            await self.api.explain(
                self.get_account().name, work, bool(self.forwarded_account)
            )
        )


class UnknownHandler(BaseHandler):
    """Handles requests to paths that do not exist."""

    def prepare(self) -> None:
        """Raise the error 404 for the path of the request."""
        raise errors.RequestError(404, 'Not found', self.request.path)
