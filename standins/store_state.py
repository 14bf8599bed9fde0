"""Keys, revisions and leases of the simulated store, without I/O."""

from __future__ import annotations

import bisect
import secrets

import msgspec


class StoredValue(msgspec.Struct, frozen=True):
    """Value of a key at one revision; version 0 marks a deleted key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Lease(msgspec.Struct):
    """Lease with the keys that are deleted when it ends.

    :ivar ttl: seconds without a keepalive until the lease expires.
    :ivar expires: monotonic time of the expiry, in seconds.
    """

    id: int
    ttl: int
    expires: float
    keys: set[bytes]


class CompactedError(Exception):
    """The requested revision was removed by a compaction."""


class LeaseNotFoundError(Exception):
    """The lease never existed, was revoked or has expired."""


class State:
    """Multi-version map of keys with leases.

    :ivar revision: revision of the newest write; an empty store has 1.
    :ivar compacted_revision: revisions below this one can't be read.
    :ivar events: values written since the last compaction, oldest first.
    :ivar leases: present leases, by id.
    """

    __slots__ = (
        '_versions',
        'compacted_revision',
        'events',
        'leases',
        'revision',
    )

    def __init__(self) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.events: list[StoredValue] = []
        self.leases: dict[int, Lease] = {}
        self._versions: dict[bytes, list[StoredValue]] = {}

    def read(
        self, key: bytes, range_end: bytes = b'', revision: int = 0
    ) -> list[StoredValue]:
        """Return the values of the existing keys of a range, in key order.

        :param key: key, or start of the range.
        :param range_end: end of the range; empty for the key alone, a zero
            byte for all keys from ``key`` on.
        :param revision: revision to read at; 0 for the newest.
        :raises CompactedError: the revision was removed by a compaction.
        """
        revision = revision or self.revision
        if revision < self.compacted_revision:
            raise CompactedError
        found = []
        for stored_key in self._list_keys(key, range_end):
            value = self._read_key(stored_key, revision)
            if value is not None:
                found.append(value)
        return found

    def put(
        self, key: bytes, value: bytes, lease: int, revision: int
    ) -> StoredValue | None:
        """Write a key at a revision and return the former value.

        :raises LeaseNotFoundError: the lease does not exist.
        """
        if lease and lease not in self.leases:
            raise LeaseNotFoundError
        former = self._read_key(key, revision)
        if former is not None and former.lease in self.leases:
            self.leases[former.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        self._append_version(
            StoredValue(
                key=key,
                value=value,
                create_revision=former.create_revision if former else revision,
                mod_revision=revision,
                version=former.version + 1 if former else 1,
                lease=lease,
            )
        )
        return former

    def delete(
        self, key: bytes, range_end: bytes, revision: int
    ) -> list[StoredValue]:
        """Delete the keys of a range at a revision and return their values."""
        deleted = self.read(key, range_end, revision)
        for value in deleted:
            if value.lease in self.leases:
                self.leases[value.lease].keys.discard(value.key)
            self._append_version(
                StoredValue(
                    key=value.key,
                    value=b'',
                    create_revision=0,
                    mod_revision=revision,
                    version=0,
                )
            )
        return deleted

    def finish_write(self) -> None:
        """Set the store's revision to that of the last write."""
        if self.events:
            self.revision = max(self.revision, self.events[-1].mod_revision)

    def compact(self, revision: int) -> None:
        """Remove the events below a revision."""
        self.compacted_revision = max(self.compacted_revision, revision)
        self.events = [
            event for event in self.events if event.mod_revision >= revision
        ]

    def grant_lease(self, now: float, ttl: int, lease_id: int = 0) -> Lease:
        """Create a lease.

        :param now: monotonic time in seconds.
        :param ttl: seconds without a keepalive until the lease expires.
        :param lease_id: id of the lease; 0 for a random one.
        """
        lease_id = lease_id or secrets.randbelow(2**62) + 1
        lease = Lease(lease_id, ttl, now + ttl, set())
        self.leases[lease_id] = lease
        return lease

    def revoke_lease(self, lease_id: int) -> None:
        """Remove a lease and its keys.

        :raises LeaseNotFoundError: the lease does not exist.
        """
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            raise LeaseNotFoundError
        for key in sorted(lease.keys):
            self.delete(key, b'', self.revision + 1)
        self.finish_write()

    def expire_leases(self, now: float) -> None:
        """Revoke the leases that have expired.

        :param now: monotonic time in seconds.
        """
        for lease in list(self.leases.values()):
            if lease.expires <= now:
                self.revoke_lease(lease.id)

    def extend_leases(self, now: float) -> None:
        """Extend every lease to its full duration, as a new etcd leader does.

        :param now: monotonic time in seconds.
        """
        for lease in self.leases.values():
            lease.expires = now + lease.ttl

    def _append_version(self, value: StoredValue) -> None:
        self._versions.setdefault(value.key, []).append(value)
        self.events.append(value)

    def _list_keys(self, key: bytes, range_end: bytes) -> list[bytes]:
        if not range_end:
            return [key] if key in self._versions else []
        return sorted(
            stored_key
            for stored_key in self._versions
            if stored_key >= key
            and (range_end == b'\0' or stored_key < range_end)
        )

    def _read_key(self, key: bytes, revision: int) -> StoredValue | None:
        versions = self._versions.get(key, [])
        position = bisect.bisect_right(
            versions, revision, key=lambda value: value.mod_revision
        )
        if not position or not versions[position - 1].version:
            return None
        return versions[position - 1]
