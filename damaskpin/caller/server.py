"""HTTP server of an entry for callers and operators."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import http
import logging
import re
from typing import Any
from typing import Protocol

import msgspec
from tornado import httpserver
from tornado import web

from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.caller import body_limit
from damaskpin.caller import problems
from damaskpin.model import config as configs
from damaskpin.model import job as jobs

LOG = logging.getLogger(__name__)

MAX_HEADER_BYTES = 32 * 1024
MAX_KEY_CHARS = 256
MAX_DEADLINE_S = 24 * 3600.0
DEFAULT_DEADLINE_S = 30.0

_TRACE_PATTERN = re.compile(r'^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$')

# Revisions of the store are 64-bit integers.
_REVISION_PATTERN = re.compile(r'^[0-9]{1,18}$')


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A service request as a caller sent it.

    :ivar key: value of ``Idempotency-Key``; empty for none.
    :ivar deadline_seconds: seconds after which the caller stops waiting.
    :ivar trace: W3C trace context; empty for none.
    """

    account: configs.Account
    service: str
    body: bytes
    content_type: str
    idempotent: bool
    key: str
    priority: jobs.Priority
    deadline_seconds: float
    trace: str


class Reply(msgspec.Struct, frozen=True):
    """A document for a caller or an operator.

    :ivar headers: further headers of the answer.
    """

    status: int
    document: Any
    headers: dict[str, str] = {}
    content_type: str = 'application/json'


class Api(Protocol):
    """What the handlers need of an entry."""

    def authenticate(
        self, header: str, on_behalf: str = ''
    ) -> configs.Account: ...

    async def run_call(self, call: Call) -> tuple[str, verdicts.Verdict]: ...

    def cancel_call(self, call: Call) -> None: ...

    def issue_key(self, account: configs.Account, service: str) -> Reply: ...

    async def submit_job(
        self, account: configs.Account, spec: jobs.JobSpec, key: str
    ) -> Reply: ...

    async def attach_job(
        self, account: configs.Account, spec: jobs.JobSpec, key: str
    ) -> tuple[str, verdicts.Verdict]: ...

    async def read_job(
        self, account: str, job_id: str, forwarded: bool = False
    ) -> Reply: ...

    async def cancel_job(
        self, account: str, job_id: str, forwarded: bool = False
    ) -> Reply: ...

    def list_jobs(self, account: str) -> Reply: ...

    async def explain(
        self, account: str, work: str, forwarded: bool = False
    ) -> Reply: ...

    def list_members(self) -> Reply: ...

    def read_config(self) -> Reply: ...

    async def change_config(
        self, body: bytes, revision: int, token: str
    ) -> Reply: ...

    async def settle_change(self, token: str) -> Reply: ...

    def list_revisions(self) -> Reply: ...

    def render_report(self, form: str) -> Reply: ...

    def render_metrics(self) -> bytes: ...

    def is_ready(self) -> tuple[bool, str]: ...

    def drain(self) -> None: ...

    def check_operator(self, header: str) -> None: ...

    def check_peer(self, header: str) -> None: ...


class BaseHandler(web.RequestHandler):
    """Common parts of all handlers."""

    def initialize(self, api: Api) -> None:
        """Keep the entry that the handler works for."""
        self.api = api

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
                problems.write_problem(
                    self, errors.RequestError(500, 'Internal error')
                )

    def _refuse(self, error: errors.RequestError) -> None:
        # Only POST starts work. A refused question about a job says nothing
        # about whether the job has run.
        starts_work = self.request.method == 'POST'
        refused = error.status < 500 or error.retry_after is not None
        verdict = 'not-run' if starts_work and refused else ''
        if verdict:
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

    def write_reply(self, reply: Reply) -> None:
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
        name = verdicts.name_verdict(verdict)
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
        key = self.request.headers.get('Idempotency-Key', '').strip('"')
        if len(key) > MAX_KEY_CHARS:
            raise errors.RequestError(
                400,
                'Header out of range',
                f'Idempotency-Key is longer than {MAX_KEY_CHARS} characters',
            )
        return key


class ServiceHandler(BaseHandler):
    """Requests to a service."""

    _call: Call | None = None

    async def post(self, service: str) -> None:
        """Run one request and wait for its whole answer."""
        headers = self.request.headers
        self._call = Call(
            account=self.get_account(),
            service=service,
            body=self.request.body,
            content_type=headers.get(
                'Content-Type', 'application/octet-stream'
            ),
            idempotent=_parse_flag(headers.get('Damaskpin-Idempotent')),
            key=self.get_key(),
            priority=_parse_priority(headers.get('Damaskpin-Priority')),
            deadline_seconds=_parse_deadline(
                headers.get('Damaskpin-Deadline')
            ),
            trace=_parse_trace(headers.get('traceparent')),
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
        spec = _parse_spec(self.request.body)
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


class MembersHandler(BaseHandler):
    """Live entries, for processes that start."""

    def get(self) -> None:
        """List the live entries."""
        self.api.check_peer(self.request.headers.get('Authorization', ''))
        self.write_reply(self.api.list_members())


class ConfigHandler(BaseHandler):
    """The configuration."""

    def get(self) -> None:
        """Show the applied configuration."""
        self.check_operator()
        self.write_reply(self.api.read_config())

    async def put(self) -> None:
        """Propose a configuration by compare-and-swap."""
        self.check_operator()
        condition = self.request.headers.get('If-Match', '').strip('"')
        if not _REVISION_PATTERN.match(condition):
            raise errors.RequestError(
                428,
                'Condition missing',
                'send If-Match with the revision that the change is based on',
            )
        token = self.request.headers.get('Damaskpin-Change-Token', '')
        if not re.fullmatch(r'[A-Za-z0-9-]{8,64}', token):
            raise errors.RequestError(
                400,
                'Header out of range',
                'Damaskpin-Change-Token needs 8 to 64 letters, digits or -',
            )
        self.write_reply(
            await self.api.change_config(
                self.request.body, int(condition), token
            )
        )


class ConfigChangeHandler(BaseHandler):
    """Outcome of a proposal whose answer was lost."""

    async def get(self, token: str) -> None:
        """Settle the outcome of a change token."""
        self.check_operator()
        self.write_reply(await self.api.settle_change(token))


class ConfigStatusHandler(BaseHandler):
    """Revisions in force."""

    def get(self) -> None:
        """List the revision that each known process applied."""
        self.check_operator()
        self.write_reply(self.api.list_revisions())


class ReportHandler(BaseHandler):
    """Report on service-level burn."""

    def get(self) -> None:
        """Render the report as ``json``, ``text`` or ``html``."""
        self.check_operator()
        self.write_reply(
            self.api.render_report(self.get_query_argument('format', 'json'))
        )


class DrainHandler(BaseHandler):
    """Planned stops."""

    def post(self) -> None:
        """Start to drain this process."""
        self.check_operator()
        self.api.drain()
        self.write_reply(Reply(202, {'state': 'draining'}))


class HealthHandler(BaseHandler):
    """Liveness of the process."""

    def get(self) -> None:
        """Answer while the loop runs."""
        self.write_reply(Reply(200, {'status': 'alive'}))


class ReadyHandler(BaseHandler):
    """Readiness for the balancer."""

    def get(self) -> None:
        """Tell whether this entry takes new work."""
        ready, reason = self.api.is_ready()
        self.write_reply(
            Reply(200 if ready else 503, {'ready': ready, 'reason': reason})
        )


class MetricsHandler(BaseHandler):
    """Scrape endpoint."""

    def get(self) -> None:
        """Render all metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.api.render_metrics())


class UnknownHandler(BaseHandler):
    """Paths that don't exist."""

    def prepare(self) -> None:
        """Answer with a problem document."""
        raise errors.RequestError(404, 'Not found', self.request.path)


def make_server(api: Api) -> httpserver.HTTPServer:
    """Return the HTTP server of an entry, not yet listening.

    :param api: the entry.
    """
    context = {'api': api}
    application = web.Application(
        [
            (r'/v1/services/([A-Za-z0-9._-]{1,63})', ServiceHandler, context),
            (r'/v1/keys', KeyHandler, context),
            (r'/v1/jobs', JobsHandler, context),
            (r'/v1/jobs/([A-Za-z0-9._-]{1,128})', JobHandler, context),
            (r'/v1/explain/([A-Za-z0-9._-]{1,128})', ExplainHandler, context),
            (r'/v1/members', MembersHandler, context),
            (r'/v1/config', ConfigHandler, context),
            (r'/v1/config/status', ConfigStatusHandler, context),
            (
                r'/v1/config/changes/([A-Za-z0-9-]{8,64})',
                ConfigChangeHandler,
                context,
            ),
            (r'/v1/report', ReportHandler, context),
            (r'/v1/drain', DrainHandler, context),
            (r'/healthz', HealthHandler, context),
            (r'/readyz', ReadyHandler, context),
            (r'/metrics', MetricsHandler, context),
        ],
        default_handler_class=UnknownHandler,
        default_handler_args=context,
    )
    return httpserver.HTTPServer(
        body_limit.BodyLimit(application),
        max_body_size=body_limit.MAX_DISCARDED_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        idle_connection_timeout=300,
    )


def make_peer_token(fleet_key: bytes) -> str:
    """Return the bearer token with which our processes read the members.

    :param fleet_key: secret shared by all damaskpin processes.
    """
    return hmac.new(fleet_key, b'members', hashlib.sha256).hexdigest()


def _parse_spec(body: bytes) -> jobs.JobSpec:
    try:
        return msgspec.json.decode(body, type=jobs.JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.RequestError(400, 'Job malformed', str(error)) from error


def _parse_flag(text: str | None) -> bool:
    match text:
        case None | 'true':
            return True
        case 'false':
            return False
    raise errors.RequestError(
        400, 'Header out of range', 'Damaskpin-Idempotent is true or false'
    )


def _parse_priority(text: str | None) -> jobs.Priority:
    if text is None:
        return jobs.Priority.NORMAL
    try:
        return jobs.Priority[text.upper()]
    except KeyError:
        allowed = ', '.join(item.name.lower() for item in jobs.Priority)
        raise errors.RequestError(
            400,
            'Header out of range',
            f'Damaskpin-Priority is one of {allowed}',
        ) from None


def _parse_deadline(text: str | None) -> float:
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    # The comparison is also false for not-a-number.
    if 0 < seconds <= MAX_DEADLINE_S:
        return seconds
    raise errors.RequestError(
        400,
        'Header out of range',
        f'Damaskpin-Deadline is above 0 and at most {MAX_DEADLINE_S:g} s',
    )


def _parse_trace(text: str | None) -> str:
    return text if text and _TRACE_PATTERN.match(text) else ''
