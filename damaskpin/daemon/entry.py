"""Entry process: serves callers, routes requests, owns and places jobs."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING

from tornado import httpclient

from damaskpin import effects
from damaskpin import errors
from damaskpin import logs
from damaskpin import verdict as verdicts
from damaskpin.caller import server as caller_server
from damaskpin.caller import tokens
from damaskpin.daemon import api as apis
from damaskpin.daemon import job_manager as job_managers
from damaskpin.daemon import node as nodes
from damaskpin.daemon import objectives
from damaskpin.daemon import region_coordinator as region_coordinators
from damaskpin.daemon import seed_client
from damaskpin.model import config as configs
from damaskpin.peer import events
from damaskpin.peer import gang_messages
from damaskpin.peer import membership as memberships
from damaskpin.peer import messages
from damaskpin.report import burn_rates as burns
from damaskpin.report import decision_history as explains
from damaskpin.service import claims
from damaskpin.service import dispatch
from damaskpin.service import limits as limiting
from damaskpin.service import routing
from damaskpin.store import claims as claim_store
from damaskpin.store import client as store_clients
from damaskpin.store import configuration as configurations
from damaskpin.store import records
from damaskpin.store import registry as registries
from damaskpin.store import watch as watches

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin import settings as settings_module

LOG = logging.getLogger(__name__)

SEED_RETRY_INTERVAL_S = 1.0
# Interval of seed queries once another entry is known. The queries go on, as
# two groups of entries may have started without contact to each other.
SEED_QUERY_INTERVAL_S = 30.0
MEMBERSHIP_UPDATE_INTERVAL_S = 0.5
CONFIG_RETRY_INTERVAL_S = 1.0
ADOPTION_RETRY_S = 5.0


class Entry:
    """Connects the state machines of an entry to network and store.

    :param settings: settings of this process.
    """

    __slots__ = (
        '_config_watch',
        '_coordinator_incarnations',
        '_coordinators',
        '_http_client',
        '_next_adoption_scan',
        '_next_membership_update',
        '_objectives',
        '_pending_requests',
        '_registry',
        '_rng',
        '_server',
        '_store',
        'burn_counters',
        'claims',
        'configuration',
        'dispatcher',
        'draining',
        'history',
        'job_manager',
        'limits',
        'membership',
        'node',
        'region_coordinator',
        'router',
        'settings',
        'tokens',
    )

    def __init__(self, settings: settings_module.EntrySettings) -> None:
        self.settings = settings
        self._rng = random.Random()
        self.node = nodes.Node(
            settings,
            'entry',
            self._receive,
            self._handle_call_failure,
            self._look_up_address,
        )
        peer = self.node.peer
        now = self.node.get_time()
        secret = settings.fleet_key.get_secret_value().encode()
        self.membership = memberships.EntryMembership(peer, now)
        self.router = routing.Router(peer.data_centre, peer.region, self._rng)
        self.limits = limiting.Limits()
        self.dispatcher = dispatch.Dispatcher(
            peer.instance,
            peer.incarnation,
            self.router,
            self.limits,
            self._rng,
            secret,
        )
        self._store = store_clients.StoreClient(settings.store)
        self.claims = claim_store.ClaimStore(self._store)
        self.configuration = configurations.ConfigHolder(
            peer.instance, 'entry'
        )
        self.job_manager = job_managers.JobManager(
            peer,
            records.JobRecords(self._store),
            self.apply,
            self.node.spawn,
            self.node.get_time,
            settings.max_jobs,
        )
        self.region_coordinator = region_coordinators.RegionCoordinator(
            peer, configs.Config(), self._rng
        )
        self.history = explains.DecisionHistory()
        self.burn_counters = burns.BurnCounters()
        self._objectives = objectives.Objectives(self.burn_counters)
        self.job_manager.on_started = self._count_job_start
        self.job_manager.on_concluded = self._count_job_end
        self.tokens = tokens.TokenIndex(configs.Config())
        self.draining = False
        self._http_client = httpclient.AsyncHTTPClient(force_instance=True)
        self._registry = registries.Registry(
            self._store, peer, self._add_entries
        )
        self._config_watch: watches.Watch | None = None
        self._pending_requests: dict[
            str, asyncio.Future[verdicts.Verdict]
        ] = {}
        self._coordinators: dict[str, str] = {}
        self._coordinator_incarnations: dict[str, str] = {}
        self._next_membership_update = now
        self._next_adoption_scan = now + job_managers.ADOPTION_DELAY_S
        self._server = caller_server.make_server(
            apis.EntryApi(self, self._store, self._http_client)
        )
        self._register_gauges()

    async def start(self) -> None:
        """Start the servers, register the entry and query the seeds."""
        nodes.listen_http(self._server, self.settings)
        self.node.start_ticks(self._tick)
        self.node.spawn(self._registry.run())
        self.node.spawn(self._query_seeds())
        self.node.spawn(self._load_config())

    async def stop(self) -> None:
        """Finish work in progress, leave the fleet and close connections."""
        self.start_draining()
        deadline = self.node.get_time() + self.settings.drain_timeout
        while self._pending_requests or self.job_manager.count_attached_jobs():
            if self.node.get_time() > deadline:
                LOG.warning('drain timeout reached with work in progress')
                break
            await asyncio.sleep(nodes.TICK_INTERVAL_S)
        self.apply(self.membership.leave())
        await self._registry.leave()
        self._server.stop()
        await self._server.close_all_connections()
        if self._config_watch is not None:
            await self._config_watch.close()
        await self.node.close()
        self._store.close()

    def start_draining(self) -> None:
        """Stop accepting new work."""
        if self.draining:
            return
        self.draining = True
        self.membership.draining = True
        self.dispatcher.drain()
        self._update_membership(self.node.get_time())

    async def run_request(
        self, request: dispatch.requests.Request
    ) -> verdicts.Verdict:
        """Run a service request and wait for its verdict."""
        future = asyncio.get_running_loop().create_future()
        self._pending_requests[request.id] = future
        self.node.telemetry.requests.add(1, {'account': request.account})
        started = self.node.get_time()
        try:
            self.apply(self.dispatcher.submit(started, request))
            verdict = await future
        finally:
            self._pending_requests.pop(request.id, None)
        self.count_verdict(
            request.account, verdict, self.node.get_time() - started
        )
        return verdict

    def cancel_request(self, request_id: str) -> None:
        """Cancel a service request whose caller has disconnected."""
        self.apply(self.dispatcher.cancel(self.node.get_time(), request_id))

    def count_verdict(
        self, account: str, verdict: verdicts.Verdict, seconds: float
    ) -> None:
        """Count the verdict on a request in metrics and objectives."""
        name = verdicts.format_verdict(verdict)
        attributes = {'account': account, 'verdict': name}
        self.node.telemetry.verdicts.add(1, attributes)
        self.node.telemetry.verdict_seconds.record(seconds, attributes)
        self._objectives.count_request(self.node.get_time(), account, verdict)

    def apply(self, outputs: Iterable[events.Output]) -> None:
        """Carry out the effects and events that state machines return."""
        now = self.node.get_time()
        for output in outputs:
            match output:
                case effects.Send(to, message):
                    self.node.send(to, message)
                case effects.Record(work, event, detail):
                    self.record(work, event, detail)
                case effects.DeliverVerdict(work, verdict):
                    self._deliver_verdict(work, verdict)
                case effects.GrantJob(job, attempt):
                    self.node.spawn(
                        self.job_manager.record_grant(job, attempt)
                    )
                case (
                    claims.ReadClaim()
                    | claims.CreateClaim()
                    | claims.ReplaceClaim()
                ):
                    self.node.spawn(self._run_claim_call(output))
                case events.AddressLearned(peer):
                    self.node.store_address(peer)
                case events.AgentChanged(state):
                    self.router.set_agent(now, state)
                    self.region_coordinator.set_agent(now, state)
                    self.job_manager.handle_gang_reports(state.gangs)
                case events.AgentLost(instance, incarnation):
                    self._handle_agent_loss(now, instance, incarnation)
                case events.EntryLost(instance, _):
                    LOG.info('entry lost', extra={'entry': instance})
                    self.configuration.forget_peer(instance)
                    self._next_adoption_scan = (
                        now + job_managers.ADOPTION_DELAY_S
                    )
                case events.RevisionSeen(instance, revision):
                    self.apply(
                        self.configuration.handle_peer_revision(
                            now, instance, revision
                        )
                    )

    def _count_job_start(self, owned: job_managers.OwnedJob) -> None:
        self._objectives.count_job_start(self.node.get_time(), owned)

    def _count_job_end(self, owned: job_managers.OwnedJob) -> None:
        now = self.node.get_time()
        attributes = {'account': owned.job.account, 'verdict': owned.state}
        self.node.telemetry.verdicts.add(1, attributes)
        self.node.telemetry.verdict_seconds.record(
            now - owned.accepted, attributes
        )
        self._objectives.count_job_end(now, owned)

    def record(
        self, work: str, event: str, detail: str, account: str = ''
    ) -> None:
        """Add an event to the explain history and log it.

        :param work: request id or job id.
        :param account: client account; empty except on acceptance.
        """
        self.history.add(
            self.node.get_time(),
            time.time(),
            work,
            event,
            detail,
            self.node.peer.instance,
            account,
        )
        LOG.info(
            event,
            extra={'work': work, 'detail': detail, 'account': account},
        )

    def _receive(self, sender: str, message: messages.Message) -> None:
        now = self.node.get_time()
        match message:
            case (
                messages.AgentReport()
                | messages.EntryBeat()
                | messages.RegionUpdate()
                | messages.FindPeer()
                | messages.PeerFound()
                | messages.SyncRequest()
            ):
                self.apply(self.membership.receive(now, sender, message))
            case (
                messages.RevisionNotice()
                | messages.FetchConfig()
                | messages.ConfigBody()
            ):
                self.apply(self.configuration.receive(now, sender, message))
            case (
                messages.RunAnswer()
                | messages.RunRefused()
                | messages.RunUncertain()
                | messages.RunState()
            ):
                self.apply(self.dispatcher.receive(now, sender, message))
            case gang_messages.RequestGrant() | gang_messages.JobUpdate():
                self.job_manager.receive(sender, message)
            case (
                gang_messages.GangFinished()
                | gang_messages.GangStatus()
                | gang_messages.GangFinishedAck()
            ):
                self.job_manager.receive(sender, message)
                self.apply(
                    self.region_coordinator.receive(now, sender, message)
                )
            case _:
                self.apply(
                    self.region_coordinator.receive(now, sender, message)
                )

    def _tick(self) -> None:
        now = self.node.get_time()
        self.apply(self.membership.tick(now))
        self.apply(self.dispatcher.tick(now))
        self.apply(self.configuration.tick(now))
        self._apply_config(now)
        self.job_manager.tick()
        started = time.perf_counter()
        self.apply(self.region_coordinator.tick(now))
        self.node.telemetry.decision_seconds.record(
            time.perf_counter() - started
        )
        if now >= self._next_membership_update:
            self._update_membership(now)
        if now >= self._next_adoption_scan:
            self._next_adoption_scan = (
                now + job_managers.ADOPTION_SCAN_INTERVAL_S
            )
            if self.region_coordinator.is_active():
                self.node.spawn(self._adopt_jobs())

    def _update_membership(self, now: float) -> None:
        self._next_membership_update = now + MEMBERSHIP_UPDATE_INTERVAL_S
        entries = self.membership.list_entries()
        regions = {peer.region for peer in entries}
        coordinators = {
            region: self.membership.get_coordinator(region) or ''
            for region in regions
        }
        incarnations = {peer.instance: peer.incarnation for peer in entries}
        coordinator_incarnations = {
            name: incarnations[name] for name in coordinators.values() if name
        }
        if coordinator_incarnations != self._coordinator_incarnations:
            # A restarted coordinator has lost its queue. Clearing the
            # coordinators first makes the job owners submit all jobs again.
            self._coordinator_incarnations = coordinator_incarnations
            self.job_manager.set_coordinators({})
            self.job_manager.set_coordinators(coordinators)
        self._coordinators = coordinators
        own_coordinator = coordinators.get(self.node.peer.region)
        active = own_coordinator == self.node.peer.instance
        if active and not self.region_coordinator.is_active():
            self._next_adoption_scan = now + job_managers.ADOPTION_DELAY_S
        self.region_coordinator.set_active(now, active)
        other_entries = [
            peer
            for peer in entries
            if peer.instance != self.node.peer.instance
        ]
        nearby_entries = [
            peer.instance
            for peer in other_entries
            if peer.data_centre == self.node.peer.data_centre
        ]
        self.apply(
            self.configuration.set_neighbours(
                now,
                nearby_entries or [peer.instance for peer in other_entries],
            )
        )
        self.configuration.set_agents(self.membership.list_home_agents())
        self._update_config_watch(nearby_entries)
        if active:
            self._objectives.count_config_change(
                now,
                self.membership.revision,
                self.membership.list_revisions(),
            )

    def _update_config_watch(self, neighbours: list[str]) -> None:
        should_watch = not self.draining and configurations.is_watcher(
            self.node.peer.instance, neighbours
        )
        if should_watch and self._config_watch is None:
            self._config_watch = watches.Watch(
                self._store,
                configurations.CONFIG_KEY,
                self._handle_config_change,
                self._rng,
            )
            self._config_watch.start()
        elif not should_watch and self._config_watch is not None:
            self.node.spawn(self._config_watch.close())
            self._config_watch = None

    def _handle_config_change(self, change: watches.Change) -> None:
        if change.item is None:
            LOG.warning('configuration deleted; the applied one stays in use')
            return
        self.handle_stored_config(change.item.mod_revision, change.item.value)

    def handle_stored_config(self, revision: int, body: bytes) -> None:
        """Apply a configuration read from the store unless it is outdated."""
        now = self.node.get_time()
        self.apply(self.configuration.handle_store_value(now, revision, body))
        self._apply_config(now)

    def _apply_config(self, now: float) -> None:
        if self.configuration.revision == self.membership.revision:
            return
        config = self.configuration.config
        if config is None:
            return
        self.membership.revision = self.configuration.revision
        self.tokens = tokens.TokenIndex(config)
        self.limits.set_config(config)
        self.region_coordinator.set_config(
            now, config, self.configuration.revision
        )
        LOG.info(
            'configuration applied',
            extra={'revision': self.configuration.revision},
        )

    async def _load_config(self) -> None:
        """Read the configuration from the store once at the start.

        Only some entries watch the store for changes, and this entry may not
        be one of them.
        """
        while not self.configuration.revision:
            try:
                item = await self._store.get(configurations.CONFIG_KEY)
                if item is not None:
                    self.handle_stored_config(item.mod_revision, item.value)
                    return
            except errors.StoreError as error:
                LOG.info('could not read configuration; retrying: %s', error)
            await asyncio.sleep(CONFIG_RETRY_INTERVAL_S)

    def _add_entries(self, peers: list[messages.Peer]) -> None:
        self.apply(self.membership.learn_entries(self.node.get_time(), peers))

    async def _query_seeds(self) -> None:
        secret = self.settings.fleet_key.get_secret_value().encode()
        while True:
            peers = await seed_client.fetch_members(
                self._http_client, self.settings.seeds, secret
            )
            self._add_entries(peers)
            is_alone = len(self.membership.list_entries()) == 1
            await asyncio.sleep(
                SEED_RETRY_INTERVAL_S if is_alone else SEED_QUERY_INTERVAL_S
            )

    async def _adopt_jobs(self) -> None:
        live = {
            (peer.instance, peer.incarnation)
            for peer in self.membership.list_entries()
        }
        try:
            await self.job_manager.adopt_jobs(live)
        except errors.StoreError as error:
            LOG.info('could not read jobs to adopt; retrying: %s', error)
            self._next_adoption_scan = self.node.get_time() + ADOPTION_RETRY_S

    async def _run_claim_call(self, call: claims.StoreCall) -> None:
        result = await self.claims.carry_out(call)
        self.apply(
            self.dispatcher.receive_store_result(
                self.node.get_time(), call.request, call.step, result
            )
        )

    def _deliver_verdict(self, work: str, verdict: verdicts.Verdict) -> None:
        future = self._pending_requests.get(work)
        if future is not None:
            if not future.done():
                future.set_result(verdict)
            return
        self.job_manager.conclude(work, verdict)

    def _handle_agent_loss(
        self, now: float, instance: str, incarnation: str
    ) -> None:
        LOG.info('agent lost', extra={'agent': instance})
        self.router.remove_agent(now, instance)
        self.apply(
            self.dispatcher.handle_agent_loss(now, instance, incarnation)
        )
        self.apply(self.region_coordinator.remove_agent(now, instance))
        self.job_manager.handle_agent_loss(instance)

    def _look_up_address(self, instance: str) -> None:
        peer = self.membership.find_peer(instance)
        if peer is not None:
            self.node.store_address(peer)
            return
        # The coordinators of other regions are asked, because they know the
        # addresses of the agents there.
        for region, name in self._coordinators.items():
            if name and region != self.node.peer.region:
                self.node.send(name, messages.FindPeer(instance))

    def _handle_call_failure(self, instance: str) -> None:
        LOG.debug('%s did not answer', instance)

    def _register_gauges(self) -> None:
        register = self.node.telemetry.register_gauge
        register(
            'damaskpin.config.revision',
            'applied configuration revision',
            lambda: self.configuration.revision,
        )
        register(
            'damaskpin.members.entries',
            'live entries',
            lambda: len(self.membership.list_entries()),
        )
        register(
            'damaskpin.members.agents',
            'live agents of the region',
            lambda: len(self.membership.list_agents()),
        )
        register(
            'damaskpin.jobs.owned',
            'jobs that this entry owns',
            lambda: len(self.job_manager),
        )
        register(
            'damaskpin.requests.active',
            'service requests in progress',
            lambda: len(self._pending_requests),
        )


def run(settings: settings_module.EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT.

    :param settings: checked settings.
    """
    logs.configure_logging(settings.log_level, settings.instance)
    entries: list[Entry] = []

    async def start() -> None:
        entries.append(Entry(settings))
        await entries[0].start()

    async def stop() -> None:
        await entries[0].stop()

    nodes.run_until_stopped(start, stop)
