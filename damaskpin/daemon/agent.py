"""Agent process, which runs beside a worker and its targets."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

import msgspec
from tornado import httpclient

from damaskpin import effects
from damaskpin import logs
from damaskpin.caller import tokens
from damaskpin.daemon import agent_server
from damaskpin.daemon import node as nodes
from damaskpin.daemon import seed_client
from damaskpin.daemon import task_runner
from damaskpin.gang import member as members
from damaskpin.peer import events
from damaskpin.peer import home as homes
from damaskpin.peer import messages
from damaskpin.service import slots as slots_module
from damaskpin.store import configuration as configurations
from damaskpin.target import announcements
from damaskpin.target import client as target_client

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin import settings as settings_module

LOG = logging.getLogger(__name__)

SEED_RETRY_INTERVAL_S = 1.0


class Agent:
    """Manages the accelerators and target slots of one worker.

    :param settings: settings of this process.
    """

    __slots__ = (
        '_configuration',
        '_home',
        '_http_client',
        '_member',
        '_node',
        '_server',
        '_settings',
        '_slots',
        '_target_client',
        '_target_urls',
        '_task_runner',
        'draining',
    )

    def __init__(self, settings: settings_module.AgentSettings) -> None:
        self._settings = settings
        self._node = nodes.Node(
            settings,
            'agent',
            self._receive,
            self._handle_call_failure,
            self._look_up_address,
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
        self._slots = slots_module.SlotManager(
            peer.instance, peer.incarnation, started=now
        )
        self._configuration = configurations.ConfigHolder(
            peer.instance, 'agent'
        )
        self._task_runner = task_runner.TaskRunner(
            settings.worker_url,
            self._member,
            self._apply,
            self._node.get_time,
        )
        self._target_client = target_client.TargetClient()
        self._http_client = httpclient.AsyncHTTPClient(force_instance=True)
        self._target_urls: dict[str, str] = {}
        self.draining = False
        self._server = agent_server.make_server(self)

    async def start(self) -> None:
        """Adopt running tasks, then start the servers and seed queries."""
        await self._task_runner.adopt()
        nodes.listen_http(self._server, self._settings)
        self._node.start_ticks(self._tick)
        self._node.spawn(self._task_runner.poll_forever())
        self._node.spawn(self._discover_entries())

    async def stop(self) -> None:
        """Finish service requests; leave tasks to the next agent process."""
        self._start_draining()
        deadline = self._node.get_time() + self._settings.drain_timeout
        while not self._slots.is_idle():
            if self._node.get_time() > deadline:
                LOG.warning('drain timeout reached with requests in progress')
                break
            await asyncio.sleep(nodes.TICK_INTERVAL_S)
        await self._task_runner.extend_task_leases()
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
                self._update_member_revision(now)
            case _:
                self._apply(self._member.receive(now, sender, message))

    def _tick(self) -> None:
        now = self._node.get_time()
        self._apply(self._member.tick(now))
        self._apply(self._slots.tick(now))
        self._home.set_state(now, self._make_state())
        self._apply(self._home.tick(now))

    def _make_state(self) -> messages.AgentState:
        return msgspec.structs.replace(
            self._home.state,
            revision=self._configuration.revision,
            targets=self._slots.list_target_states(),
            gangs=self._member.list_gangs(),
            draining=self.draining,
            healthy=self._task_runner.healthy,
        )

    def _apply(self, outputs: Iterable[events.Output]) -> None:
        for output in outputs:
            match output:
                case effects.Send(to, message):
                    self._node.send(to, message)
                case effects.StartTask():
                    self._node.spawn(self._task_runner.start(output))
                case effects.StopTask(attempt, grace):
                    self._node.spawn(self._task_runner.stop(attempt, grace))
                case effects.RevokeTask(attempt):
                    self._node.spawn(self._task_runner.revoke(attempt))
                case effects.CallTarget():
                    self._node.spawn(self._call_target(output))
                case events.AddressLearned(peer):
                    self._node.store_address(peer)
                case events.RevisionSeen(instance, revision):
                    self._handle_peer_revision(instance, revision)
                case effects.Record(work, event, detail):
                    LOG.info(event, extra={'attempt': work, 'detail': detail})

    def _handle_peer_revision(self, instance: str, revision: int) -> None:
        now = self._node.get_time()
        self._apply(
            self._configuration.handle_peer_revision(now, instance, revision)
        )
        self._update_member_revision(now)

    def _update_member_revision(self, now: float) -> None:
        self._apply(
            self._member.set_revision(now, self._configuration.revision)
        )

    def _look_up_address(self, instance: str) -> None:
        if self._home.home and instance != self._home.home:
            self._node.send(self._home.home, messages.FindPeer(instance))

    def _handle_call_failure(self, instance: str) -> None:
        self._home.handle_call_failure(self._node.get_time(), instance)

    async def _discover_entries(self) -> None:
        while True:
            if self._home.needs_entries(self._node.get_time()):
                await self._query_seeds()
            await asyncio.sleep(SEED_RETRY_INTERVAL_S)

    async def _query_seeds(self) -> None:
        peers = await seed_client.fetch_members(
            self._http_client,
            self._settings.seeds,
            self._settings.fleet_key.get_secret_value().encode(),
        )
        if peers:
            self._apply(self._home.learn_entries(self._node.get_time(), peers))

    async def _call_target(self, effect: effects.CallTarget) -> None:
        url = self._target_urls.get(effect.service, '')
        try:
            answer = await self._target_client.call(
                url,
                effect.attempt,
                effect.body,
                effect.content_type,
                effect.timeout,
                effect.trace,
            )
        except target_client.CallError as error:
            self._apply(
                self._slots.record_target_failure(
                    self._node.get_time(),
                    effect.attempt,
                    error.reason,
                    error.reached,
                )
            )
            return
        self._apply(
            self._slots.record_target_answer(
                self._node.get_time(), effect.attempt, answer
            )
        )

    def announce(
        self, service: str, announcement: announcements.Announcement
    ) -> None:
        """Register a target or update it from its announcement."""
        self._target_urls[service] = announcement.url
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

    def withdraw(self, service: str) -> None:
        """Stop sending requests to the target of a service."""
        self._apply(self._slots.withdraw(self._node.get_time(), service))
        self._tick()

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._node.telemetry.render_metrics()

    def drain(self, header: str) -> bool:
        """Start draining if the header holds the operators' token.

        :param header: value of the ``Authorization`` header.
        :returns: whether the token is valid.
        """
        if not tokens.is_operator(
            header, self._settings.operator_token_sha256
        ):
            return False
        self._start_draining()
        return True


def run(settings: settings_module.AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT.

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
