"""Handlers of callers' requests."""

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
    """Common parts of all handlers."""

    def initialize(self, api: interface.Api) -> None:
        """Keep the entry that the handler works for."""
        self.api = api

    def prepare(self) -> None:
        """Count the request."""
        self.api.count_http()

    def set_default_headers(self) -> None:
        """Remove the name of the server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with a problem document instead of an HTML page."""
        error = kwargs.get('exc_info', (None, None, None))[1]
        match error:
            case errors.RequestError():
                self._refuse(error)
            case web.HTTPError():
                phrase = http.HTTPStatus(status_code).phrase
                self._refuse(
                    errors.RequestError(status_code, error.reason or phrase)
                )
            case _:
                self._refuse(errors.RequestError(500, 'Internal error'))

    def _refuse(self, error: errors.RequestError) -> None:
        # Only POST starts work. A refused question about a job says nothing
        # about whether the job has run.
        verdict = ''
        if self.request.method == 'POST':
            refused = error.status < 500 or error.retry_after is not None
            verdict = 'not-run' if refused else 'may-have-run'
            self.set_header('Damaskpin-Verdict', verdict)
        problems.write_problem(self, error, verdict)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log refused requests shortly and faults with their trace."""
        if isinstance(value, errors.RequestError | web.HTTPError):
            LOG.info(
                'request refused',
                extra={'path': self.request.path, 'reason': str(value)},
            )
            return
        super().log_exception(typ, value, tb)

    def write_reply(self, reply: interface.Reply) -> None:
        """Answer with a document."""
        self.set_status(reply.status)
        self.set_header('Content-Type', reply.content_type)
        for name, value in reply.headers.items():
            self.set_header(name, value)
        if isinstance(reply.document, bytes):
            self.finish(reply.document)
            return
        self.finish(msgspec.json.encode(reply.document) + b'\n')

    def write_verdict(self, work: str, verdict: verdicts.Verdict) -> None:
        """Answer with the whole answer, or say what is known."""
        name = verdicts.format_verdict(verdict)
        self.set_header('Damaskpin-Verdict', name)
        self.set_header('Damaskpin-Attempt', work)
        match verdict:
            case verdicts.Ran(answer):
                self.set_status(answer.status)
                self.set_header('Content-Type', answer.content_type)
                self.finish(answer.body)
            case _:
                problems.write_problem(
                    self, problems.make_error(verdict), name
                )

    def get_account(self) -> configs.Account:
        """Return the client account of the caller."""
        return self.api.authenticate(
            self.request.headers.get('Authorization', ''), self.on_behalf
        )

    @property
    def on_behalf(self) -> str:
        """Account that another entry asks for; empty for callers."""
        return self.request.headers.get('Damaskpin-Account', '')

    def check_operator(self) -> None:
        """Refuse callers without the operators' token."""
        self.api.check_operator(self.request.headers.get('Authorization', ''))

    def get_key(self) -> str:
        """Return the idempotency key, or an empty text."""
        return headers.parse_key(self.request.headers.get('Idempotency-Key'))


class ServiceHandler(BaseHandler):
    """Requests to a service."""

    _call: interface.Call | None = None

    async def post(self, service: str) -> None:
        """Run one request and wait for its whole answer."""
        sent = self.request.headers
        self._call = interface.Call(
            account=self.get_account(),
            service=service,
            body=self.request.body,
            content_type=sent.get('Content-Type', 'application/octet-stream'),
            idempotent=headers.parse_flag(sent.get('Damaskpin-Idempotent')),
            key=self.get_key(),
            priority=headers.parse_priority(sent.get('Damaskpin-Priority')),
            deadline_seconds=headers.parse_deadline(
                sent.get('Damaskpin-Deadline')
            ),
            trace=headers.parse_trace(sent.get('traceparent')),
        )
        work, verdict = await self.api.run_call(self._call)
        self._call = None
        self.write_verdict(work, verdict)

    def on_connection_close(self) -> None:
        """Cancel the work when the caller hangs up."""
        if self._call is not None:
            self.api.cancel_call(self._call)


class KeyHandler(BaseHandler):
    """Idempotency keys that need no store."""

    def post(self) -> None:
        """Issue a key that is bound to one agent."""
        service = self.get_query_argument('service', '')
        if not service:
            raise errors.RequestError(
                400, 'Parameter missing', 'service is required'
            )
        self.write_reply(self.api.issue_key(self.get_account(), service))


class JobsHandler(BaseHandler):
    """Submission and list of jobs."""

    _waiting: asyncio.Task[tuple[str, verdicts.Verdict]] | None = None

    def get(self) -> None:
        """List the account's jobs that this entry owns."""
        self.write_reply(self.api.list_jobs(self.get_account().name))

    async def post(self) -> None:
        """Submit a job, detached with ``Prefer: respond-async``."""
        account = self.get_account()
        spec = headers.parse_spec(self.request.body)
        preference = self.request.headers.get('Prefer', '')
        if 'respond-async' in preference:
            self.write_reply(
                await self.api.submit_job(account, spec, self.get_key())
            )
            return
        self._waiting = asyncio.ensure_future(
            self.api.attach_job(account, spec, self.get_key())
        )
        try:
            work, verdict = await self._waiting
        except asyncio.CancelledError:
            return
        self.write_verdict(work, verdict)

    def on_connection_close(self) -> None:
        """Cancel the job when the caller hangs up."""
        if self._waiting is not None:
            self._waiting.cancel()


class JobHandler(BaseHandler):
    """One job."""

    async def get(self, job_id: str) -> None:
        """Tell the state of a job."""
        self.write_reply(
            await self.api.read_job(
                self.get_account().name, job_id, bool(self.on_behalf)
            )
        )

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        self.write_reply(
            await self.api.cancel_job(
                self.get_account().name, job_id, bool(self.on_behalf)
            )
        )


class ExplainHandler(BaseHandler):
    """Decisions about a request or job."""

    async def get(self, work: str) -> None:
        """List what was decided, when, by which process and why."""
        self.write_reply(
            await self.api.explain(
                self.get_account().name, work, bool(self.on_behalf)
            )
        )


class UnknownHandler(BaseHandler):
    """Paths that don't exist."""

    def prepare(self) -> None:
        """Answer with a problem document."""
        raise errors.RequestError(404, 'Not found', self.request.path)
