"""Process beside a worker and its targets."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import logging
import random
from typing import TYPE_CHECKING

import msgspec
from tornado import httpclient
from tornado import httpserver
from tornado import web

from damaskpin import effects
from damaskpin import errors
from damaskpin import logs
from damaskpin.caller import server as caller_server
from damaskpin.daemon import node as nodes
from damaskpin.gang import member as members
from damaskpin.peer import events
from damaskpin.peer import home as homes
from damaskpin.peer import messages
from damaskpin.service import slots as slots_module
from damaskpin.store import configuration as configurations
from damaskpin.target import announcements
from damaskpin.target import client as target_client
from damaskpin.worker import client as worker_client

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin import settings as settings_module

LOG = logging.getLogger(__name__)

POLL_S = 0.25
RENEW_S = 4.0
SEED_RETRY_S = 1.0
WORKER_RETRY_S = 0.5
SEED_TIMEOUT_S = 2.0
# Time for the successor of a stopped agent to adopt its tasks.
HANDOVER_LEASE_S = 30.0


class Agent:
    """Arbiter of one worker's accelerators and slots.

    :param settings: settings of this process.
    """

    __slots__ = (
        '_client',
        '_configuration',
        '_home',
        '_http',
        '_leases',
        '_member',
        '_node',
        '_server',
        '_settings',
        '_slots',
        '_targets',
        '_urls',
        '_worker',
        '_worker_healthy',
        'draining',
    )

    def __init__(self, settings: settings_module.AgentSettings) -> None:
        self._settings = settings
        self._node = nodes.Node(
            settings,
            'agent',
            self._receive,
            self._handle_call_failure,
            self._find_peer,
        )
        now = self._node.get_time()
        peer = self._node.peer
        self._home = homes.AgentHome(
            messages.AgentState(
                peer,
                settings.rack,
                settings.worker,
                settings.accelerators,
                uptime=0.0,
                sequence=0,
                revision=0,
            ),
            now,
        )
        self._member = members.Member(
            peer.instance, settings.accelerators, random.Random()
        )
        self._slots = slots_module.Slots(
            peer.instance, peer.incarnation, started=now
        )
        self._configuration = configurations.ConfigHolder(
            peer.instance, 'agent'
        )
        self._worker = worker_client.WorkerClient(settings.worker_url)
        self._targets = target_client.Client()
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._urls: dict[str, str] = {}
        self._leases: dict[str, float] = {}
        self._worker_healthy = True
        self.draining = False
        self._server = self._make_server()

    async def start(self) -> None:
        """Adopt the tasks of a former run, then report and serve."""
        await self._adopt_tasks()
        self._server.listen(self._settings.http_port, self._settings.http_host)
        self._node.start_ticks(self._tick)
        self._node.spawn(self._watch_tasks())
        self._node.spawn(self._find_entries())

    async def stop(self) -> None:
        """Finish requests in progress; leave gang tasks to a successor."""
        self._start_draining()
        deadline = self._node.get_time() + self._settings.drain_timeout
        while not self._slots.is_idle():
            if self._node.get_time() > deadline:
                LOG.warning('requests are still running at the drain timeout')
                break
            await asyncio.sleep(nodes.TICK_S)
        now = self._node.get_time()
        for renewal in self._member.list_leases(now):
            seconds = min(HANDOVER_LEASE_S, renewal.max_lease_seconds)
            await self._renew_task(renewal.attempt, seconds)
        self._server.stop()
        await self._node.close()

    def _start_draining(self) -> None:
        if self.draining:
            return
        self.draining = True
        now = self._node.get_time()
        self._apply(self._member.drain(now))
        self._apply(self._slots.drain(now))

    def _receive(self, sender: str, message: messages.Message) -> None:
        now = self._node.get_time()
        match message:
            case messages.ReportAck() | messages.PeerFound():
                self._apply(self._home.receive(now, sender, message))
            case (
                messages.RunRequest()
                | messages.CancelRequest()
                | messages.QueryRun()
            ):
                self._apply(self._slots.receive(now, sender, message))
            case messages.RevisionNotice():
                self._apply(self._configuration.receive(now, sender, message))
                self._take_revision(now)
            case _:
                self._apply(self._member.receive(now, sender, message))

    def _tick(self) -> None:
        now = self._node.get_time()
        self._apply(self._member.tick(now))
        self._apply(self._slots.tick(now))
        self._home.set_state(now, self._describe_state())
        self._apply(self._home.tick(now))

    def _describe_state(self) -> messages.AgentState:
        return msgspec.structs.replace(
            self._home.state,
            revision=self._configuration.revision,
            targets=self._slots.list_targets(),
            gangs=self._member.list_gangs(),
            draining=self.draining,
            healthy=self._worker_healthy,
        )

    def _apply(self, outputs: Iterable[events.Output]) -> None:
        for output in outputs:
            match output:
                case effects.Send(to, message):
                    self._node.send(to, message)
                case effects.StartTask():
                    self._node.spawn(self._start_task(output))
                case effects.StopTask(attempt, grace):
                    self._node.spawn(self._stop_task(attempt, grace))
                case effects.RevokeTask(attempt):
                    self._node.spawn(self._revoke_lease(attempt))
                case effects.CallTarget():
                    self._node.spawn(self._call_target(output))
                case events.AddressLearned(peer):
                    self._node.learn_address(peer)
                case events.RevisionSeen(instance, revision):
                    self._see_revision(instance, revision)
                case effects.Record(work, event, detail):
                    LOG.info(event, extra={'attempt': work, 'detail': detail})

    def _see_revision(self, instance: str, revision: int) -> None:
        now = self._node.get_time()
        self._apply(self._configuration.peer_revision(now, instance, revision))
        self._take_revision(now)

    def _take_revision(self, now: float) -> None:
        self._apply(
            self._member.set_revision(now, self._configuration.revision)
        )

    def _find_peer(self, instance: str) -> None:
        if self._home.home and instance != self._home.home:
            self._node.send(self._home.home, messages.FindPeer(instance))

    def _handle_call_failure(self, instance: str) -> None:
        self._home.call_failed(self._node.get_time(), instance)

    async def _find_entries(self) -> None:
        while True:
            if self._home.needs_entries(self._node.get_time()):
                await self._ask_seeds()
            await asyncio.sleep(SEED_RETRY_S)

    async def _ask_seeds(self) -> None:
        peers = await fetch_members(
            self._client,
            self._settings.seeds,
            self._settings.fleet_key.get_secret_value().encode(),
        )
        if peers:
            self._apply(self._home.learn_entries(self._node.get_time(), peers))

    async def _adopt_tasks(self) -> None:
        tasks = await self._list_tasks()
        now = self._node.get_time()
        for task in tasks:
            if task.state != 'running':
                continue
            LOG.info('adopting a task', extra={'attempt': task.id})
            self._leases[task.id] = now
            self._apply(
                self._member.adopt(
                    now, task.id, task.labels, tuple(task.accelerators)
                )
            )
        self._apply(self._member.adoption_done(now))

    async def _list_tasks(self) -> list[worker_client.Task]:
        # Nothing may be reserved before the worker has named what runs.
        while True:
            try:
                return await self._worker.list_tasks()
            except errors.WorkerError as error:
                LOG.warning('the worker did not list its tasks: %s', error)
            await asyncio.sleep(WORKER_RETRY_S)

    async def _start_task(self, effect: effects.StartTask) -> None:
        try:
            await self._worker.start_task(
                effect.attempt,
                effect.command,
                effect.accelerators,
                effect.lease_seconds,
                effect.labels,
            )
        except errors.WorkerError as error:
            LOG.warning(
                'the worker refused a task',
                extra={'attempt': effect.attempt, 'reason': str(error)},
            )
            await self._revoke_task(effect)
            self._apply(
                self._member.task_refused(
                    self._node.get_time(), effect.attempt, str(error)
                )
            )
            return
        now = self._node.get_time()
        self._leases[effect.attempt] = now
        self._apply(self._member.task_started(now, effect.attempt))

    async def _revoke_task(self, effect: effects.StartTask) -> None:
        """End a task whose start has an unknown outcome."""
        try:
            await self._worker.revoke_task(effect.attempt)
        except errors.WorkerUnavailableError:
            # Without renewals its lease ends it.
            await asyncio.sleep(effect.lease_seconds)
        except errors.WorkerError as error:
            LOG.debug('the worker has no such task: %s', error)

    async def _stop_task(self, attempt: str, grace: float) -> None:
        try:
            if grace > 0:
                await self._worker.checkpoint_task(attempt, grace)
                await asyncio.sleep(grace)
            await self._worker.stop_task(attempt)
        except errors.WorkerError as error:
            LOG.info(
                'stopping a task failed',
                extra={'attempt': attempt, 'reason': str(error)},
            )

    async def _revoke_lease(self, attempt: str) -> None:
        try:
            await self._worker.revoke_task(attempt)
        except errors.WorkerError as error:
            LOG.info(
                'revoking a lease failed',
                extra={'attempt': attempt, 'reason': str(error)},
            )

    async def _call_target(self, effect: effects.CallTarget) -> None:
        url = self._urls.get(effect.service, '')
        try:
            answer = await self._targets.call(
                url,
                effect.attempt,
                effect.body,
                effect.content_type,
                effect.timeout,
                effect.trace,
            )
        except target_client.CallError as error:
            self._apply(
                self._slots.target_failed(
                    self._node.get_time(),
                    effect.attempt,
                    error.reason,
                    error.reached,
                )
            )
            return
        self._apply(
            self._slots.target_answered(
                self._node.get_time(), effect.attempt, answer
            )
        )

    async def _watch_tasks(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            if self._leases:
                await self._check_tasks()

    async def _check_tasks(self) -> None:
        try:
            tasks = {task.id: task for task in await self._worker.list_tasks()}
        except errors.WorkerError as error:
            if self._worker_healthy:
                LOG.warning('the worker does not answer: %s', error)
            self._worker_healthy = False
            return
        self._worker_healthy = True
        now = self._node.get_time()
        for attempt in list(self._leases):
            task = tasks.get(attempt)
            if task is None or task.state != 'running':
                del self._leases[attempt]
                code = task.exit_code if task else None
                self._apply(self._member.task_ended(now, attempt, code))
                continue
        for renewal in self._member.list_leases(now):
            renewed = self._leases.get(renewal.attempt, now)
            if now - renewed >= RENEW_S:
                await self._renew_task(renewal.attempt, renewal.lease_seconds)

    async def _renew_task(self, attempt: str, seconds: float) -> None:
        try:
            await self._worker.renew_task(attempt, seconds)
        except errors.WorkerError as error:
            LOG.warning(
                'renewing a lease failed',
                extra={'attempt': attempt, 'reason': str(error)},
            )
            return
        if attempt in self._leases:
            self._leases[attempt] = self._node.get_time()

    def _announce(
        self, service: str, announcement: announcements.Announcement
    ) -> None:
        self._urls[service] = announcement.url
        self._apply(
            self._slots.announce(
                self._node.get_time(),
                service,
                announcement.slots,
                announcement.ttl,
                announcement.leaving,
            )
        )
        self._tick()

    def _withdraw(self, service: str) -> None:
        self._apply(self._slots.withdraw(self._node.get_time(), service))
        self._tick()

    def _make_server(self) -> httpserver.HTTPServer:
        routes = announcements.make_handlers(self._announce, self._withdraw)
        context = {'agent': self}
        application = web.Application(
            [
                *routes,
                (r'/healthz', _HealthHandler, context),
                (r'/readyz', _HealthHandler, context),
                (r'/metrics', _MetricsHandler, context),
                (r'/v1/drain', _DrainHandler, context),
            ]
        )
        return httpserver.HTTPServer(
            application, max_body_size=caller_server.MAX_BODY_BYTES
        )

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._node.telemetry.render_metrics()

    def drain(self, header: str) -> bool:
        """Start to drain if the header proves an operator.

        :param header: value of the ``Authorization`` header.
        :returns: whether the token is the operators'.
        """
        if not is_operator(header, self._settings.operator_token_sha256):
            return False
        self._start_draining()
        return True


class _HealthHandler(web.RequestHandler):
    def initialize(self, agent: Agent) -> None:
        self._agent = agent

    def get(self) -> None:
        ready = not self._agent.draining
        if self.request.path == '/readyz' and not ready:
            self.set_status(503)
        self.finish({'status': 'alive', 'ready': ready})


class _MetricsHandler(web.RequestHandler):
    def initialize(self, agent: Agent) -> None:
        self._agent = agent

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._agent.render_metrics())


class _DrainHandler(web.RequestHandler):
    def initialize(self, agent: Agent) -> None:
        self._agent = agent

    def post(self) -> None:
        header = self.request.headers.get('Authorization', '')
        if not self._agent.drain(header):
            self.set_status(401)
            self.finish({'title': 'Token unknown', 'status': 401})
            return
        self.set_status(202)
        self.finish({'state': 'draining'})


def is_operator(header: str, digest: str) -> bool:
    """Return whether a header proves an operator.

    :param header: value of the ``Authorization`` header.
    :param digest: SHA-256 of the operators' token; empty refuses all.
    """
    token = header.removeprefix('Bearer ')
    found = hashlib.sha256(token.encode()).hexdigest()
    return bool(digest) and hmac.compare_digest(found, digest)


async def fetch_members(
    client: httpclient.AsyncHTTPClient, seeds: Iterable[str], fleet_key: bytes
) -> list[messages.Peer]:
    """Ask the seeds for the live entries.

    :param client: HTTP client to use.
    :param seeds: URLs of the balancer in front of the entries.
    :param fleet_key: secret shared by all damaskpin processes.
    :returns: entries that the answering seeds know; empty without an answer.
    """
    token = caller_server.make_peer_token(fleet_key)
    found: dict[str, messages.Peer] = {}
    for seed in seeds:
        request = httpclient.HTTPRequest(
            f'{seed}/v1/members',
            headers={'Authorization': f'Bearer {token}'},
            connect_timeout=SEED_TIMEOUT_S,
            request_timeout=SEED_TIMEOUT_S,
        )
        try:
            answer = await client.fetch(request)
            entries = json.loads(answer.body)['entries']
        except (OSError, ValueError, KeyError, httpclient.HTTPError) as error:
            LOG.debug('seed %s did not answer: %s', seed, error)
            continue
        for fields in entries:
            peer = msgspec.convert(list(fields.values()), messages.Peer)
            found[peer.instance] = peer
    return list(found.values())


def run(settings: settings_module.AgentSettings) -> None:
    """Run an agent until it is stopped.

    :param settings: checked settings.
    """
    logs.configure_logging(settings.log_level, settings.instance)
    agents: list[Agent] = []

    async def start() -> None:
        agents.append(Agent(settings))
        await agents[0].start()

    async def stop() -> None:
        await agents[0].stop()

    nodes.run_until_stopped(start, stop)
