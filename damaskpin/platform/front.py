"""HTTP interface for clients that submit, cancel and query jobs."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING

import msgspec
from tornado import web

from damaskpin import errors
from damaskpin.entry import outcomes
from damaskpin.entry import shown_states
from damaskpin.platform import operator
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from damaskpin.model import installation as installations
    from damaskpin.runtime import entry as entries

LOG = logging.getLogger(__name__)

JOB_ID_PATTERN = re.compile('[0-9a-f]{16}')

# A client's time limit in milliseconds; a longer number is ignored.
TIMEOUT_PATTERN = re.compile('[0-9]{1,9}')

# Timeout of requests to a queue without its own timeout, in seconds.
DEFAULT_TIMEOUT_S = 3.0

# Seconds after which a client should retry when this entry has no
# configuration yet; by then another entry may serve it.
RETRY_AFTER_S = 1


class JobsHandler(web.RequestHandler):
    """Handles all client requests about jobs and queues."""

    def initialize(
        self, entry: entries.Entry, shown: shown_states.ShownStates
    ) -> None:
        """Set the entry that carries out the request; record the arrival.

        :param shown: states that callers of this entry were told.
        """
        self._entry = entry
        self._shown = shown
        self._arrival_time = clocks.get_monotonic_time()

    def prepare(self) -> None:
        """Count the request; close its connection if the entry is stopping."""
        self._entry.in_flight += 1
        if self._entry.stopping:
            self.set_header('Connection', 'close')

    def on_finish(self) -> None:
        """Decrement the number of requests in progress."""
        self._entry.in_flight -= 1

    def on_connection_close(self) -> None:
        """Log a client that has closed its connection before the answer."""
        LOG.info(
            'client left before its answer',
            extra={
                'path': self.request.path,
                'action': self.request.method,
                'seconds': round(
                    clocks.get_monotonic_time() - self._arrival_time, 4
                ),
                'stopping': self._entry.stopping,
            },
        )

    def set_default_headers(self) -> None:
        """Remove the Server header, which clients do not need."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer a request whose handling raised an exception.

        The job may be stored already, so an internal error is answered with
        504, which tells the client to repeat its request.
        """
        LOG.error(
            'client request failed',
            extra={
                'path': self.request.path,
                'action': self.request.method,
                'status': status_code,
            },
        )
        if status_code == 500:
            status_code = 504
        self._answer(status_code, {'error': 'the request failed here'})

    async def post(self) -> None:
        """Submit the job in the request body."""
        resolved = self._find_job()
        if resolved is None:
            return
        queue, account, job_id = resolved
        try:
            submission = operator.decode_job(
                self.request.body,
                job_id,
                account,
                queue.get_terms(),
                clocks.get_wall_time(),
            )
        except errors.MalformedError as error:
            LOG.info(
                'malformed job rejected',
                extra={'job': job_id, 'error': str(error)},
            )
            self._answer(400, {'error': str(error)})
            return
        outcome = await self._entry.requests.submit(
            submission, self._get_deadline(queue)
        )
        self._answer_outcome('submit', job_id, outcome)

    async def get(self) -> None:
        """Answer with a job's state or a queue's number of pending jobs."""
        resolved = self._find_queue()
        if resolved is None:
            return
        queue, account = resolved
        if self.request.path == queue.prefix:
            pending = self._entry.view.count_pending(queue.name)
            self._answer(200, {'pending': pending})
            return
        job_id = self._get_job_id(queue)
        if job_id is None:
            return
        outcome = await self._entry.requests.get_state(
            job_id, account, self._get_deadline(queue)
        )
        self._answer_outcome('show', job_id, outcome)

    async def delete(self) -> None:
        """Cancel the job that the path names."""
        resolved = self._find_job()
        if resolved is None:
            return
        queue, account, job_id = resolved
        outcome = await self._entry.requests.cancel(
            job_id, account, self._get_deadline(queue)
        )
        self._answer_outcome('cancel', job_id, outcome)

    def _find_queue(self) -> tuple[installations.Queue, str] | None:
        """Find the queue and the client account of the request.

        :returns: queue and account name; ``None`` after answering a request
            that was refused.
        """
        installation = self._entry.installation
        if installation is None:
            self._answer_unavailable('', 'no configuration yet')
            return None
        host = self.request.host.partition(':')[0]
        queue = installation.find_queue(host, self.request.path)
        if queue is None:
            self._refuse(installation, 404, 'no such queue')
            return None
        scheme, _, key = self.request.headers.get(
            'Authorization', ''
        ).partition(' ')
        account = None
        if scheme == 'Bearer':
            account = installation.find_account(key)
        if account is not None:
            return queue, account.name
        if queue.anonymous:
            return queue, ''
        self._refuse(installation, 401, 'unknown key')
        return None

    def _refuse(
        self,
        installation: installations.Installation,
        status: int,
        reason: str,
    ) -> None:
        """Refuse a request that the configuration in force does not allow."""
        LOG.info(
            'request refused by the configuration',
            extra={
                'path': self.request.path,
                'action': self.request.method,
                'status': status,
                'reason': reason,
                'version': installation.version,
                'confirmation_age': round(
                    self._entry.get_configuration_age(), 3
                ),
            },
        )
        self._answer(status, {'error': reason})

    def _find_job(self) -> tuple[installations.Queue, str, str] | None:
        """Find the queue, the client account and the job id of the request.

        :returns: queue, account name and job id; ``None`` after answering a
            request that was refused.
        """
        resolved = self._find_queue()
        if resolved is None:
            return None
        queue, account = resolved
        job_id = self._get_job_id(queue)
        return None if job_id is None else (queue, account, job_id)

    def _get_job_id(self, queue: installations.Queue) -> str | None:
        job_id = self.request.path[len(queue.prefix) :]
        if JOB_ID_PATTERN.fullmatch(job_id):
            return job_id
        self._answer(400, {'error': 'the id is not 16 hexadecimal digits'})
        return None

    def _get_deadline(self, queue: installations.Queue) -> float:
        timeout = queue.timeout or DEFAULT_TIMEOUT_S
        client_timeout = self._get_client_timeout()
        if client_timeout is not None:
            timeout = min(timeout, client_timeout)
        return self._arrival_time + timeout

    def _get_client_timeout(self) -> float | None:
        """Return the seconds for which the client waits, if it tells."""
        value = self.request.headers.get('X-Timeout-Ms', '')
        if not TIMEOUT_PATTERN.fullmatch(value):
            return None
        return int(value) / 1000

    def _answer_unavailable(self, job_id: str, reason: str) -> None:
        self._answer_outcome(
            self.request.method or '',
            job_id,
            outcomes.Unavailable(reason, RETRY_AFTER_S),
        )

    def _answer_outcome(
        self, action: str, job_id: str, outcome: outcomes.Outcome
    ) -> None:
        body: dict[str, str] = {}
        retry_after: int | None = None
        match outcome:
            case outcomes.Accepted():
                status = 200
            case outcomes.JobFound(state=state, reason=reason):
                status = 200
                body = {'state': str(state)}
                if reason:
                    body['reason'] = reason
                self._log_shown_state(job_id, str(state))
            case outcomes.JobNotFound():
                status = 410
            case outcomes.Withdrawn():
                status = 410
                body = {'error': 'the job was cancelled before it was stored'}
            case outcomes.Unavailable(reason=reason, retry_after=retry_after):
                status = 503
                body = {'error': reason}
                self.set_header('Retry-After', str(retry_after))
            case outcomes.Undecided(reason=reason):
                status = 504
                body = {'error': reason}
        seconds = clocks.get_monotonic_time() - self._arrival_time
        labels = {'action': action, 'status': str(status)}
        self._entry.telemetry.requests.add(1, labels)
        self._entry.telemetry.verdict_seconds.record(seconds, labels)
        if action != 'show' or status != 200:
            time_left = self._get_client_timeout()
            if time_left is not None:
                time_left = round(time_left - seconds, 3)
            installation = self._entry.installation
            version = installation.version if installation else 0
            LOG.info(
                'client request answered',
                extra={
                    'job': job_id,
                    'action': action,
                    'status': status,
                    'reason': body.get('error', ''),
                    'seconds': round(seconds, 4),
                    'retry_after': retry_after,
                    'time_left': time_left,
                    'version': version,
                },
            )
        self._answer(status, body)

    def _log_shown_state(self, job_id: str, state: str) -> None:
        if self._shown.record(job_id, state):
            LOG.info('job state shown', extra={'job': job_id, 'state': state})

    def _answer(self, status: int, body: dict[str, object]) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(body))


class ReadinessHandler(web.RequestHandler):
    """Handles the platform's readiness checks."""

    def initialize(self, entry: entries.Entry) -> None:
        """Set the entry whose readiness is checked."""
        self._entry = entry

    def get(self) -> None:
        """Answer 200 if the entry can accept jobs, else 503."""
        self.set_status(200 if self._entry.is_ready() else 503)
        self.finish(b'{}')


def make_client_application(entry: entries.Entry) -> web.Application:
    """Return the HTTP application that clients call."""
    arguments = {'entry': entry, 'shown': shown_states.ShownStates()}
    return web.Application([('/.*', JobsHandler, arguments)])


def make_readiness_application(entry: entries.Entry) -> web.Application:
    """Return the HTTP application for readiness checks."""
    return web.Application(
        [('/damaskpin/readiness', ReadinessHandler, {'entry': entry})]
    )
