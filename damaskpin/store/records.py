"""Records of jobs in the store.

The owner of a job is the entry that is responsible for it: it grants the
attempts to run the job and records the verdict. A recorded job survives the
failure of its owner, because another entry can become the owner. An attempt is
granted by compare-and-swap, so that two entries that both act as owner cannot
grant two attempts.
"""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from damaskpin.store import client as clients
    from damaskpin.store import values

PREFIX = '/damaskpin/jobs/'
# Time for which the record of a finished job stays readable.
FINISHED_RETENTION_S = 24 * 3600
MAX_GRANT_TRIES = 5


class JobRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A job as it is stored.

    :ivar owner: instance id of the entry that is responsible for the job.
    :ivar incarnation: incarnation of the owner: a random token that differs
        after each restart of its process.
    :ivar attempt: attempt that was granted last; empty for none.
    :ivar verdict: outcome of the job, or ``None`` until it has ended.
    :ivar digest: digest of the specification, by which an idempotency key
        reused for another job is refused.
    """

    job: jobs.Job
    region: str
    owner: str
    incarnation: str
    digest: str
    detached: bool
    attempt: str = ''
    verdict: verdicts.Verdict | None = None


class StoredJob(msgspec.Struct, frozen=True):
    """A job record and the store revision of its last write."""

    record: JobRecord
    revision: int


def make_job_id(account: str, key: str) -> str:
    """Return the id of a job.

    :param key: idempotency key; the same key gives the same id, so that a
        request repeated at another entry finds the first record. Empty for a
        new random id.
    """
    if not key:
        return f'j-{secrets.token_hex(10)}'
    digest = hashlib.sha256(f'{account}\0{key}'.encode()).hexdigest()
    return f'j-{digest[:24]}'


def compute_digest(spec: jobs.JobSpec) -> str:
    """Return the SHA-256 digest of a job specification."""
    return hashlib.sha256(
        msgspec.json.encode(spec, order='sorted')
    ).hexdigest()


class JobRecords:
    """Reads and writes job records.

    :param client: client of the store.
    """

    __slots__ = ('_client',)

    def __init__(self, client: clients.StoreClient) -> None:
        self._client = client

    async def create(self, record: JobRecord) -> StoredJob:
        """Write a job record unless one with this id exists.

        If the outcome of the write is unknown, the record is read back.

        :returns: the record that the store holds. The caller must compare the
            owner in it with the owner that it wrote.
        :raises damaskpin.errors.StoreUnavailableError: nothing was written.
        :raises damaskpin.errors.StoreUncertainError: the record may have been
            written.
        """
        key = _make_key(record.job.id)
        try:
            result = await self._client.create(key, _encode(record))
        except errors.StoreUncertainError:
            found = await self._read_back(key)
            if found is None:
                raise
            return found
        if result.succeeded:
            return StoredJob(record, result.revision)
        found = _decode(result.reads[0])
        if found is None:
            raise errors.StoreUncertainError(
                f'{key} changed while it was read'
            )
        return found

    async def read(self, job_id: str) -> StoredJob | None:
        """Return the record of a job, or ``None`` if there is none.

        :raises damaskpin.errors.StoreUnavailableError: the read failed.
        """
        return _decode(await self._client.get(_make_key(job_id)))

    async def list_jobs(self) -> list[StoredJob]:
        """Return the records of all jobs.

        :raises damaskpin.errors.StoreUnavailableError: the read failed.
        """
        listing = await self._client.list_prefix(PREFIX)
        found = (_decode(item) for item in listing.items)
        return [job for job in found if job is not None]

    async def grant(
        self, job_id: str, owner: str, incarnation: str, attempt: str
    ) -> bool:
        """Record an attempt as granted if the caller owns the job.

        :returns: whether the store holds the grant; if false, the attempt was
            certainly not granted.
        :raises damaskpin.errors.StoreUncertainError: it is not known whether
            the grant was recorded.
        """
        for _ in range(MAX_GRANT_TRIES):
            stored = await self.read(job_id)
            if stored is None or stored.record.verdict is not None:
                return False
            record = stored.record
            if (record.owner, record.incarnation) != (owner, incarnation):
                return False
            if record.attempt == attempt:
                return True
            updated = msgspec.structs.replace(record, attempt=attempt)
            try:
                if await self._compare_and_swap(stored, updated):
                    return True
            except errors.StoreUncertainError:
                continue
        raise errors.StoreUncertainError(
            f'outcome of the grant of attempt {attempt} is still unknown'
        )

    async def adopt(
        self, stored: StoredJob, owner: str, incarnation: str
    ) -> bool:
        """Change the owner of a job whose owner is dead.

        :param stored: record as it was last read.
        :param owner: instance id of the new owner.
        :returns: whether the new owner was recorded.
        :raises damaskpin.errors.StoreError: the write failed, or it is not
            known whether it took effect.
        """
        updated = msgspec.structs.replace(
            stored.record, owner=owner, incarnation=incarnation
        )
        return await self._compare_and_swap(stored, updated)

    async def conclude(
        self, job_id: str, owner: str, verdict: verdicts.Verdict
    ) -> bool:
        """Record the verdict on a job that the caller owns.

        :returns: whether the record holds a verdict now.
        :raises damaskpin.errors.StoreError: the call failed, or it is not
            known whether it took effect; repeating it is safe.
        """
        stored = await self.read(job_id)
        if stored is None or stored.record.owner != owner:
            return False
        if stored.record.verdict is not None:
            return True
        updated = msgspec.structs.replace(stored.record, verdict=verdict)
        lease = await self._client.grant_lease(FINISHED_RETENTION_S)
        return await self._compare_and_swap(stored, updated, lease.id)

    async def _compare_and_swap(
        self, stored: StoredJob, updated: JobRecord, lease: int = 0
    ) -> bool:
        result = await self._client.compare_and_swap(
            _make_key(updated.job.id), stored.revision, _encode(updated), lease
        )
        return result.succeeded

    async def _read_back(self, key: str) -> StoredJob | None:
        try:
            return _decode(await self._client.get(key))
        except errors.StoreUnavailableError:
            return None


def _make_key(job_id: str) -> str:
    return PREFIX + job_id


def _encode(record: JobRecord) -> bytes:
    return msgspec.json.encode(record)


def _decode(item: values.KeyValue | None) -> StoredJob | None:
    if item is None:
        return None
    try:
        record = msgspec.json.decode(item.value, type=JobRecord)
    except msgspec.DecodeError:
        return None
    return StoredJob(record, item.mod_revision)
