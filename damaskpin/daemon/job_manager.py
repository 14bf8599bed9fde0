"""Jobs owned by an entry: store records, waiting callers and adoption."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
from typing import TYPE_CHECKING

import msgspec

from damaskpin import effects
from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.gang import owner as owners
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages
from damaskpin.store import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.model import config as configs

LOG = logging.getLogger(__name__)

MAX_FINISHED_JOBS = 5000
RECORD_RETRY_S = 1.0
MAX_RECORD_RETRY_S = 30.0
STORE_UNAVAILABLE_RETRY_AFTER_S = 5.0
# Delay between the loss of an entry and the adoption of its jobs. It exceeds
# a lease in the registry and three heartbeats of a small fleet, so that the
# jobs of a live entry are not adopted.
ADOPTION_DELAY_S = 10.0
ADOPTION_SCAN_INTERVAL_S = 600.0


@dataclasses.dataclass(slots=True)
class OwnedJob:
    """A job that this entry owns or has concluded recently.

    :ivar recorded: whether the store holds a record of the job.
    :ivar detached: whether the job continues when its caller disconnects.
    :ivar accepted: monotonic time of the acceptance in seconds.
    :ivar started: monotonic time of the first start in seconds, or ``None``.
    :ivar state: last state that the coordinator or the owner reported.
    :ivar waiters: futures of the callers that wait for the verdict.
    """

    job: jobs.Job
    region: str
    recorded: bool
    detached: bool
    accepted: float
    started: float | None = None
    state: str = 'queued'
    reason: str = ''
    waiters: list[asyncio.Future[verdicts.Verdict]] = dataclasses.field(
        default_factory=list
    )
    verdict: verdicts.Verdict | None = None


class JobManager:
    """Manages the jobs that this entry owns on behalf of callers.

    An entry owns the jobs that it accepted or adopted. For each region, one
    owner state machine (``owners.Owner``) follows the gang protocol for the
    jobs queued there. An attempt is one placement of the gang of a job. A
    grant is the owner's permission to run an attempt; for recorded jobs that
    must not run twice, it is written to the store first.

    :param peer: identity and addresses of this entry.
    :param store: access to the job records in the store.
    :param apply: callback that carries out effects.
    :param spawn: callback that runs a coroutine in the background.
    :param get_time: callback that returns monotonic seconds.
    :param max_jobs: maximum number of jobs owned at the same time.
    :ivar on_started: callback for the first start of a job.
    :ivar on_concluded: callback for the verdict on a job.
    """

    __slots__ = (
        '_apply',
        '_coordinators',
        '_finished_jobs',
        '_get_time',
        '_max_jobs',
        '_owned_jobs',
        '_owners',
        '_peer',
        '_spawn',
        '_store',
        'on_concluded',
        'on_started',
    )

    def __init__(
        self,
        peer: messages.Peer,
        store: records.JobRecords,
        apply: Callable[[Iterable[effects.Effect]], None],
        spawn: Callable[..., None],
        get_time: Callable[[], float],
        max_jobs: int,
    ) -> None:
        self._peer = peer
        self._store = store
        self._apply = apply
        self._spawn = spawn
        self._get_time = get_time
        self._max_jobs = max_jobs
        self._owned_jobs: dict[str, OwnedJob] = {}
        self._finished_jobs: collections.OrderedDict[str, OwnedJob] = (
            collections.OrderedDict()
        )
        self._owners: dict[str, owners.Owner] = {}
        self._coordinators: dict[str, str] = {}
        self.on_started: Callable[[OwnedJob], None] = _do_nothing
        self.on_concluded: Callable[[OwnedJob], None] = _do_nothing

    def __len__(self) -> int:
        return len(self._owned_jobs)

    def find(self, job_id: str) -> OwnedJob | None:
        """Return an owned or recently concluded job, or ``None``."""
        return self._owned_jobs.get(job_id) or self._finished_jobs.get(job_id)

    def list_jobs(self, account: str) -> list[OwnedJob]:
        """Return a client account's owned and recently concluded jobs."""
        known_jobs = [
            *self._owned_jobs.values(),
            *self._finished_jobs.values(),
        ]
        return [owned for owned in known_jobs if owned.job.account == account]

    def count_attached_jobs(self) -> int:
        """Return the number of jobs with callers waiting for the verdict."""
        return sum(bool(owned.waiters) for owned in self._owned_jobs.values())

    async def accept(
        self,
        account: str,
        spec: jobs.JobSpec,
        region: str,
        key: str,
        detached: bool,
    ) -> OwnedJob:
        """Accept a job, and record it in the store first if required.

        :param region: region in which the job is queued.
        :param key: idempotency key; empty for none.
        :param detached: whether the job continues without its caller.
        :raises damaskpin.errors.RequestError: if the job is refused; it will
            not run unless the message says that it may have been recorded.
        """
        if len(self._owned_jobs) >= self._max_jobs:
            raise errors.RequestError(
                503, 'Too many jobs', 'this entry owns too many jobs', 10.0
            )
        # A repeated submission to any entry must find the first one, so jobs
        # with an idempotency key that must not run twice are recorded in the
        # store.
        recorded = detached or bool(key and not spec.idempotent)
        job_id = records.make_job_id(account, key if recorded else '')
        known = self.find(job_id)
        if known is not None:
            _require_same_spec(known.job.spec, spec)
            return known
        job = jobs.Job(job_id, account, spec)
        if recorded:
            await self._record_submission(job, region, detached)
        return self._add_owned_job(job, region, recorded, detached)

    async def wait(self, owned: OwnedJob) -> verdicts.Verdict:
        """Wait for the verdict on a job and return it."""
        if owned.verdict is not None:
            return owned.verdict
        future = asyncio.get_running_loop().create_future()
        owned.waiters.append(future)
        try:
            return await future
        finally:
            if future in owned.waiters:
                owned.waiters.remove(future)

    def cancel(self, job_id: str, reason: str) -> None:
        """Cancel a job that this entry owns."""
        owned = self._owned_jobs.get(job_id)
        if owned is None:
            return
        owned.state, owned.reason = 'cancelling', reason
        self._apply(
            self._owners[owned.region].cancel(self._get_time(), job_id, reason)
        )

    def set_coordinators(self, coordinators: dict[str, str]) -> None:
        """Set the coordinating entry of each region.

        :param coordinators: instance ids of entries, by region.
        """
        self._coordinators = coordinators
        now = self._get_time()
        for region, owner in self._owners.items():
            self._apply(
                owner.set_coordinator(now, coordinators.get(region, ''))
            )

    def handle_agent_loss(self, instance: str) -> None:
        """Update the owned jobs after the loss of an agent."""
        for owner in self._owners.values():
            self._apply(owner.handle_agent_lost(self._get_time(), instance))

    def handle_gang_reports(self, gangs: Iterable[messages.GangState]) -> None:
        """Update adopted jobs from the gangs that agents reported."""
        for gang in gangs:
            owned = self._owned_jobs.get(gang.job)
            if owned is None:
                continue
            owner = self._owners[owned.region]
            self._apply(owner.handle_gang_report(self._get_time(), gang))

    def receive(self, sender: str, message: messages.Message) -> None:
        """Route a message to the owner state machine of its job."""
        now = self._get_time()
        job_id = getattr(message, 'job', '')
        owned = self._owned_jobs.get(job_id)
        if isinstance(message, gang_messages.JobUpdate) and owned is not None:
            self._handle_job_update(owned, message)
        if owned is not None:
            owner = self._owners[owned.region]
            self._apply(owner.receive(now, sender, message))
            return
        for owner in [*self._owners.values()] or [
            self._get_or_create_region_owner('')
        ]:
            outputs = owner.receive(now, sender, message)
            self._apply(outputs)
            # The message names no job that this entry owns, so the owners of
            # all regions get it in turn, until one of them returns effects.
            # Otherwise the sender could get a reply from each owner.
            if outputs:
                return

    def _handle_job_update(
        self, owned: OwnedJob, update: gang_messages.JobUpdate
    ) -> None:
        owned.state, owned.reason = update.state, update.reason
        if update.state == 'running' and owned.started is None:
            owned.started = self._get_time()
            self.on_started(owned)

    def tick(self) -> None:
        """Run the due timers of the owner state machines."""
        now = self._get_time()
        for owner in self._owners.values():
            self._apply(owner.tick(now))

    def conclude(self, job_id: str, verdict: verdicts.Verdict) -> bool:
        """Deliver a verdict to the waiting callers and record it.

        :returns: whether this entry owned the job.
        """
        owned = self._owned_jobs.pop(job_id, None)
        if owned is None:
            return False
        owned.verdict = verdict
        owned.state = verdicts.format_verdict(verdict)
        owned.reason = getattr(verdict, 'reason', '')
        self._finished_jobs[job_id] = owned
        while len(self._finished_jobs) > MAX_FINISHED_JOBS:
            self._finished_jobs.popitem(last=False)
        for future in owned.waiters:
            if not future.done():
                future.set_result(verdict)
        if owned.recorded:
            self._spawn(self._record_verdict(job_id, owned.region, verdict))
        self.on_concluded(owned)
        return True

    async def record_grant(self, job_id: str, attempt: str) -> None:
        """Store the grant of an attempt, and pass the result to the owner.

        The grant of a job that is not recorded in the store is not stored.
        """
        owned = self._owned_jobs.get(job_id)
        if owned is None:
            return
        granted = not owned.recorded
        while owned.recorded:
            try:
                granted = await self._store.grant(
                    job_id,
                    self._peer.instance,
                    self._peer.incarnation,
                    attempt,
                )
                break
            except errors.StoreUnavailableError:
                granted = False
                break
            except errors.StoreUncertainError:
                # It is not known whether the store holds the grant of the
                # attempt. The owner may deny the attempt only if the store
                # does not hold the grant, so the call is repeated.
                await asyncio.sleep(RECORD_RETRY_S)
        self._apply(
            self._owners[owned.region].handle_grant_result(
                self._get_time(), job_id, attempt, granted
            )
        )

    async def adopt_jobs(self, live_entries: set[tuple[str, str]]) -> int:
        """Adopt unfinished recorded jobs of this region without a live owner.

        :param live_entries: instance id and incarnation (id of the process
            run) of each live entry.
        :returns: number of adopted jobs.
        """
        adopted = 0
        for stored in await self._store.list_jobs():
            record = stored.record
            if record.verdict is not None:
                continue
            if record.region != self._peer.region:
                continue
            if (record.owner, record.incarnation) in live_entries:
                continue
            if not await self._adopt_job(stored):
                continue
            adopted += 1
        return adopted

    async def _adopt_job(self, stored: records.StoredJob) -> bool:
        record = stored.record
        try:
            if not await self._store.adopt(
                stored, self._peer.instance, self._peer.incarnation
            ):
                return False
        except errors.StoreError as error:
            LOG.info(
                'could not adopt a job',
                extra={'job': record.job.id, 'reason': str(error)},
            )
            return False
        LOG.info(
            'adopted a job',
            extra={'job': record.job.id, 'former': record.owner},
        )
        now = self._get_time()
        self._owned_jobs[record.job.id] = OwnedJob(
            record.job, record.region, True, record.detached, now
        )
        owner = self._get_or_create_region_owner(record.region)
        self._apply(owner.adopt(now, record.job, record.attempt))
        return True

    async def _record_submission(
        self, job: jobs.Job, region: str, detached: bool
    ) -> None:
        record = records.JobRecord(
            job=job,
            region=region,
            owner=self._peer.instance,
            incarnation=self._peer.incarnation,
            digest=records.compute_digest(job.spec),
            detached=detached,
        )
        try:
            stored = (await self._store.create(record)).record
        except errors.StoreUnavailableError as error:
            raise errors.RequestError(
                503,
                'Store unavailable',
                'the job could not be recorded and will not run',
                STORE_UNAVAILABLE_RETRY_AFTER_S,
            ) from error
        except errors.StoreUncertainError as error:
            raise errors.RequestError(
                504,
                'Outcome unknown',
                f'the job {job.id} may have been recorded; repeat the '
                'request with the same Idempotency-Key',
            ) from error
        _require_same_spec(stored.job.spec, job.spec)
        this_entry = (self._peer.instance, self._peer.incarnation)
        owner = (stored.owner, stored.incarnation)
        if stored.verdict is not None or owner != this_entry:
            raise AlreadyRecordedError(stored)

    def _add_owned_job(
        self, job: jobs.Job, region: str, recorded: bool, detached: bool
    ) -> OwnedJob:
        known = self.find(job.id)
        if known is not None:
            return known
        now = self._get_time()
        owned = OwnedJob(job, region, recorded, detached, now)
        self._owned_jobs[job.id] = owned
        owner = self._get_or_create_region_owner(region)
        self._apply(owner.submit(now, job, recorded))
        return owned

    def _get_or_create_region_owner(self, region: str) -> owners.Owner:
        """Return the owner state machine of a region, new if there is none."""
        owner = self._owners.get(region)
        if owner is None:
            owner = owners.Owner(self._peer.instance)
            self._owners[region] = owner
            self._apply(
                owner.set_coordinator(
                    self._get_time(), self._coordinators.get(region, '')
                )
            )
        return owner

    async def _record_verdict(
        self, job_id: str, region: str, verdict: verdicts.Verdict
    ) -> None:
        delay = RECORD_RETRY_S
        while True:
            try:
                await self._store.conclude(
                    job_id, self._peer.instance, verdict
                )
                self._apply(
                    self._owners[region].handle_verdict_stored(
                        self._get_time(), job_id
                    )
                )
                return
            except errors.StoreError as error:
                LOG.info(
                    'could not record a verdict; retrying',
                    extra={'job': job_id, 'reason': str(error)},
                )
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RECORD_RETRY_S)


class AlreadyRecordedError(errors.RequestError):
    """Raised if the store holds an earlier submission with the same key.

    :ivar record: store record of the earlier submission.
    """

    def __init__(self, record: records.JobRecord) -> None:
        super().__init__(
            409,
            'Already submitted',
            f'job {record.job.id} is owned by {record.owner}',
        )
        self.record = record


def choose_region(
    config: configs.Config, account: str, spec: jobs.JobSpec, home: str
) -> str:
    """Return the region in which a job is to be queued.

    :param home: region of the entry that accepted the job.
    :returns: the home region, unless the account holds a matching guaranteed
        shape only in another region.
    """
    regions = []
    for candidate in config.accounts:
        if candidate.name != account:
            continue
        for guarantee in candidate.guarantees:
            if spec.shape not in (None, guarantee.name):
                continue
            if guarantee.accelerators >= spec.accelerators:
                regions.append(guarantee.region)
    if not regions or home in regions:
        return home
    return regions[0]


def _require_same_spec(first: jobs.JobSpec, second: jobs.JobSpec) -> None:
    if msgspec.json.encode(first) != msgspec.json.encode(second):
        raise errors.RequestError(
            422,
            'Idempotency key reused',
            'the key was used with another job',
        )


def _do_nothing(owned: OwnedJob) -> None:
    """Do nothing; default for callbacks that the entry has not set."""
