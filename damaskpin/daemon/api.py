"""Operations of an entry behind its HTTP handlers."""

from __future__ import annotations

import asyncio
import hmac
import logging
import secrets
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.caller import interface
from damaskpin.caller import server as caller_server
from damaskpin.caller import tokens
from damaskpin.daemon import documents
from damaskpin.daemon import forwarding
from damaskpin.daemon import job_manager as job_managers
from damaskpin.model import config as configs
from damaskpin.operator import changes
from damaskpin.report import burn_rates
from damaskpin.report import burn_report
from damaskpin.service import requests
from damaskpin.store import records

if TYPE_CHECKING:
    from tornado import httpclient

    from damaskpin.daemon import entry as entries
    from damaskpin.model import job as jobs
    from damaskpin.store import client as store_clients

LOG = logging.getLogger(__name__)

Reply = interface.Reply


class EntryApi:
    """Implements ``interface.EntryInterface`` for the HTTP handlers.

    :param entry: entry that serves the requests.
    :param store: client of the store.
    :param http: HTTP client for queries to other entries.
    """

    __slots__ = (
        '_change_proposer',
        '_entry',
        '_forwarder',
        '_peer_token',
        '_records',
        '_request_ids',
    )

    def __init__(
        self,
        entry: entries.Entry,
        store: store_clients.StoreClient,
        http: httpclient.AsyncHTTPClient,
    ) -> None:
        self._entry = entry
        self._change_proposer = changes.ChangeProposer(store)
        self._records = records.JobRecords(store)
        self._request_ids: dict[int, str] = {}
        self._peer_token = caller_server.make_peer_token(
            entry.settings.fleet_key.get_secret_value().encode()
        )
        self._forwarder = forwarding.Forwarder(
            entry.membership, http, self._peer_token
        )

    def authenticate(
        self, header: str, forwarded_account: str = ''
    ) -> configs.Account:
        """Return the client account of a request.

        :param header: value of the ``Authorization`` header.
        :param forwarded_account: account for which another entry forwards a
            request; empty for requests of callers.
        :raises damaskpin.errors.RequestError: if the token is missing or
            wrong, or the account is unknown.
        """
        if not forwarded_account:
            return self._entry.tokens.authenticate(header)
        self.require_peer_token(header)
        config = self._entry.configuration.config or configs.Config()
        for account in config.accounts:
            if account.name == forwarded_account:
                return account
        raise errors.RequestError(401, 'Account unknown', forwarded_account)

    def count_http_request(self) -> None:
        """Count a received HTTP request in the metrics."""
        self._entry.node.telemetry.http_requests.add(1)

    def require_peer_token(self, header: str) -> None:
        """Raise an error unless the header proves the fleet key.

        :param header: value of the ``Authorization`` header.
        :raises damaskpin.errors.RequestError: if the token is wrong.
        """
        # Bytes are compared: ``compare_digest`` rejects non-ASCII strings.
        if not hmac.compare_digest(
            header.encode(), f'Bearer {self._peer_token}'.encode()
        ):
            raise errors.RequestError(401, 'Token unknown')

    def require_operator_token(self, header: str) -> None:
        """Raise an error unless the header holds the operators' token.

        :param header: value of the ``Authorization`` header.
        :raises damaskpin.errors.RequestError: if the token is wrong.
        """
        digest = self._entry.settings.operator_token_sha256
        if not tokens.has_operator_token(header, digest):
            raise errors.RequestError(
                401, 'Token unknown', "this needs the operators' token"
            )

    # Operations of the HTTP API on service requests.

    async def run_service_request(
        self, call: interface.ServiceRequest
    ) -> tuple[str, verdicts.Verdict]:
        """Run a service request and wait for its verdict."""
        entry = self._entry
        request_id = f'r-{secrets.token_hex(8)}'
        if entry.draining:
            return request_id, verdicts.NotRun('this entry is stopping', 1.0)
        request = requests.Request(
            id=request_id,
            account=call.account.name,
            service=call.service,
            body=call.body,
            deadline_seconds=call.deadline_seconds,
            content_type=call.content_type,
            idempotent=call.idempotent,
            idempotency_key=call.key,
            priority=call.priority,
            trace=call.trace,
        )
        entry.record(
            request_id,
            'accepted',
            f'request to {call.service}, trace {call.trace or "none"}',
            call.account.name,
        )
        self._request_ids[id(call)] = request_id
        try:
            return request_id, await entry.run_request(request)
        finally:
            del self._request_ids[id(call)]

    def cancel_service_request(self, call: interface.ServiceRequest) -> None:
        """Cancel the service request of a disconnected caller."""
        request_id = self._request_ids.get(id(call))
        if request_id is not None:
            self._entry.cancel_request(request_id)

    def issue_key(self, account: configs.Account, service: str) -> Reply:
        """Issue an idempotency key that can be used without the store."""
        key = self._entry.dispatcher.issue_key(
            self._entry.node.get_time(), account.name, service
        )
        if key is None:
            raise errors.RequestError(
                503,
                'No target',
                f'no target of {service} has a free slot',
                1.0,
            )
        return Reply(201, {'key': key})

    # Operations of the HTTP API on jobs.

    async def submit_detached_job(
        self, account: configs.Account, spec: jobs.JobSpec, key: str
    ) -> Reply:
        """Accept a job that continues without its caller."""
        try:
            owned = await self._accept(account, spec, key, True)
        except job_managers.AlreadyRecordedError as error:
            return documents.describe_submission(
                error.record.job.id, documents.get_record_state(error.record)
            )
        return documents.describe_submission(owned.job.id, owned.state)

    async def run_attached_job(
        self, account: configs.Account, spec: jobs.JobSpec, key: str
    ) -> tuple[str, verdicts.Verdict]:
        """Accept a job and wait for its verdict.

        :returns: job id and verdict.
        """
        try:
            owned = await self._accept(account, spec, key, False)
        except job_managers.AlreadyRecordedError as error:
            verdict = error.record.verdict
            if verdict is None:
                raise
            return error.record.job.id, verdict
        try:
            return owned.job.id, await self._entry.job_manager.wait(owned)
        except asyncio.CancelledError:
            # The caller disconnected. The job goes on if other callers with
            # the same idempotency key wait for it.
            if not owned.detached and not owned.waiters:
                self._entry.job_manager.cancel(
                    owned.job.id, 'the caller disconnected'
                )
            raise

    async def read_job(
        self, account: str, job_id: str, forwarded: bool = False
    ) -> Reply:
        """Return the state of a job that any entry owns.

        :param forwarded: whether another entry sent the request; no further
            entries and no store are queried then.
        """
        owned = self._entry.job_manager.find(job_id)
        if owned is not None and owned.job.account == account:
            return Reply(200, self._describe_job(owned))
        if not forwarded:
            document = await self._forwarder.query_first(
                'GET', f'/v1/jobs/{job_id}', account
            )
            if document is not None:
                return Reply(200, document)
            record = await self._read_job_record(account, job_id)
            if record is not None:
                return Reply(200, documents.describe_record(record))
        raise documents.make_not_found_error(job_id)

    async def cancel_job(
        self, account: str, job_id: str, forwarded: bool = False
    ) -> Reply:
        """Cancel a job that any entry owns.

        :param forwarded: whether another entry sent the request; no further
            entries and no store are queried then.
        """
        owned = self._entry.job_manager.find(job_id)
        if owned is not None and owned.job.account == account:
            self._entry.job_manager.cancel(job_id, 'cancelled by its account')
            return Reply(202, self._describe_job(owned))
        if not forwarded:
            document = await self._forwarder.query_first(
                'DELETE', f'/v1/jobs/{job_id}', account
            )
            if document is not None:
                return Reply(202, document)
            record = await self._read_job_record(account, job_id)
            if record is not None and record.verdict is not None:
                return Reply(200, documents.describe_record(record))
            if record is not None:
                raise errors.RequestError(
                    503,
                    'Owner unavailable',
                    f'{record.owner} does not answer; another entry adopts '
                    'the job',
                    5.0,
                )
        raise documents.make_not_found_error(job_id)

    def list_jobs(self, account: str) -> Reply:
        """List an account's owned and recently concluded jobs."""
        return Reply(
            200,
            {
                'jobs': [
                    self._describe_job(owned)
                    for owned in self._entry.job_manager.list_jobs(account)
                ]
            },
        )

    async def explain(
        self, account: str, work: str, forwarded: bool = False
    ) -> Reply:
        """Collect the decisions of all entries about a request or job.

        :param work: request id or job id.
        :param forwarded: whether another entry sent the request; only the
            decisions of this entry are returned then.
        """
        work_history = self._entry.history.get(work)
        history = documents.describe_history(work_history, account)
        current_decisions = [
            {'process': self._entry.node.peer.instance, 'detail': text}
            for text in self._entry.region_coordinator.explain(work)
        ]
        if forwarded:
            return Reply(
                200,
                {'work': work, 'history': history, 'now': current_decisions},
            )
        is_known = work_history is not None and work_history.account == account
        if not is_known and not await self._can_read_job(account, work):
            raise documents.make_not_found_error(work)
        path = f'/v1/explain/{work}'
        for document in await self._forwarder.query_all(path, account):
            history += document['history']
            current_decisions += document['now']
        history.sort(key=lambda line: line['time'])
        return Reply(
            200, {'work': work, 'history': history, 'now': current_decisions}
        )

    # Operations of the HTTP API on members, configuration, reports and
    # readiness.

    def list_members(self) -> Reply:
        """List the live entries."""
        return Reply(
            200,
            {
                'entries': [
                    msgspec.structs.asdict(peer)
                    for peer in self._entry.membership.list_entries()
                ]
            },
        )

    def read_config(self) -> Reply:
        """Return the applied configuration, its revision as ``ETag``."""
        holder = self._entry.configuration
        if holder.config is None:
            raise errors.RequestError(
                404, 'No configuration', 'no configuration is applied yet'
            )
        return Reply(
            200,
            configs.format_config(holder.config),
            {'ETag': f'"{holder.revision}"'},
        )

    async def propose_config(
        self, body: bytes, revision: int, token: str
    ) -> Reply:
        """Propose a configuration by compare-and-swap.

        :param revision: revision that the change is based on.
        :param token: id of the change, for a lookup of its outcome.
        """
        outcome = await self._change_proposer.propose(body, revision, token)
        match outcome:
            case changes.Accepted(accepted):
                self._entry.handle_stored_config(
                    accepted, changes.canonicalize_document(body)
                )
        return documents.describe_change(outcome, token)

    async def settle_change(self, token: str) -> Reply:
        """Look up the outcome of a configuration change.

        :param token: id that the change was proposed with.
        """
        outcome = await self._change_proposer.settle(token)
        return documents.describe_change(outcome, token)

    def list_revisions(self) -> Reply:
        """List the configuration revision that each process applied."""
        revisions = self._entry.membership.list_revisions()
        return Reply(
            200,
            {
                'applied': self._entry.configuration.revision,
                'processes': revisions,
                'behind': sorted(
                    name
                    for name, revision in revisions.items()
                    if revision < self._entry.configuration.revision
                ),
            },
        )

    def render_report(self, form: str) -> Reply:
        """Render the report on burn rates of service-level objectives.

        :param form: ``json``, ``text`` or ``html``.
        """
        rows = burn_rates.compute_burn_rates(
            self._entry.burn_counters.collect(self._entry.node.get_time())
        )
        unix_time = time.time()
        match form:
            case 'json':
                return Reply(200, burn_report.format_json(rows, unix_time))
            case 'text':
                return Reply(
                    200,
                    burn_report.format_text(rows, unix_time).encode(),
                    content_type='text/plain; charset=utf-8',
                )
            case 'html':
                return Reply(
                    200,
                    burn_report.format_html(rows, unix_time).encode(),
                    content_type='text/html; charset=utf-8',
                )
        raise errors.RequestError(
            400, 'Parameter out of range', 'format is json, text or html'
        )

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._entry.node.telemetry.render_metrics()

    def check_readiness(self) -> tuple[bool, str]:
        """Return whether this entry accepts work, and the reason if not."""
        if self._entry.draining:
            return False, 'draining'
        if not self._entry.configuration.revision:
            return False, 'no configuration'
        return True, ''

    def drain(self) -> None:
        """Stop accepting new work."""
        self._entry.start_draining()

    async def _accept(
        self,
        account: configs.Account,
        spec: jobs.JobSpec,
        key: str,
        detached: bool,
    ) -> job_managers.OwnedJob:
        entry = self._entry
        if entry.draining:
            raise errors.RequestError(
                503, 'Stopping', 'this entry is stopping', 1.0
            )
        config = entry.configuration.config or configs.Config()
        region = job_managers.choose_region(
            config, account.name, spec, entry.node.peer.region
        )
        owned = await entry.job_manager.accept(
            account.name, spec, region, key, detached
        )
        entry.record(
            owned.job.id,
            'accepted',
            f'gang of {spec.accelerators} accelerators, '
            f'adjacency {spec.adjacency}, region {region}',
            account.name,
        )
        return owned

    def _describe_job(self, owned: job_managers.OwnedJob) -> dict[str, Any]:
        return {
            'id': owned.job.id,
            'account': owned.job.account,
            'state': owned.state,
            'reason': owned.reason,
            'region': owned.region,
            'owner': self._entry.node.peer.instance,
            'verdict': documents.get_verdict_name(owned.verdict),
            'spec': owned.job.spec,
        }

    async def _read_job_record(
        self, account: str, job_id: str
    ) -> records.JobRecord | None:
        """Read the store record of an account's job, or return ``None``."""
        try:
            stored = await self._records.read(job_id)
        except errors.StoreError as error:
            raise errors.RequestError(
                503,
                'Store unavailable',
                'the job is not owned by an entry that answers, and its '
                'record cannot be read',
                5.0,
            ) from error
        if stored is None or stored.record.job.account != account:
            return None
        return stored.record

    async def _can_read_job(self, account: str, work: str) -> bool:
        try:
            await self.read_job(account, work)
        except errors.RequestError:
            return False
        return True
