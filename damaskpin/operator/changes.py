"""Proposals of a configuration by compare-and-swap."""

from __future__ import annotations

import dataclasses
import hashlib
import logging
import re
import secrets
from typing import Literal
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin.model import config as configs
from damaskpin.operator import feasibility
from damaskpin.store import configuration
from damaskpin.store import values

if TYPE_CHECKING:
    from damaskpin.store import client as clients

LOG = logging.getLogger(__name__)

CHANGES_PREFIX = '/damaskpin/changes/'
# Limit of the store for one value.
MAX_CONFIG_BYTES = 1024 * 1024

_TOKEN = re.compile(r'[A-Za-z0-9_-]{8,64}')


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change is not in the store and never will be under its token.

    :ivar reasons: one text for each problem, with its place.
    :ivar retryable: whether the same change may succeed under a new token.
    """

    reasons: tuple[str, ...]
    retryable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another change came first; this one is not in the store.

    :ivar revision: revision of the configuration now; 0 if there is none.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The store did not answer; ``settle`` tells what happened."""

    token: str


Outcome = Accepted | Rejected | Superseded | Unknown


class ChangeRecord(msgspec.Struct, frozen=True):
    """What the store keeps of a change, for good.

    :ivar state: ``cancelled`` when it was settled before it was written.
    :ivar digest: SHA-256 of the document, in hex.
    """

    state: Literal['accepted', 'cancelled']
    digest: str = ''


class ChangeProposer:
    """Writes configurations and their change records to the store.

    :param store: client of the store.
    """

    __slots__ = ('_store',)

    def __init__(self, store: clients.StoreClient) -> None:
        self._store = store

    async def propose(
        self,
        document: bytes,
        revision: int,
        token: str,
        first_attempt: bool = False,
    ) -> Outcome:
        """Replace the configuration if it is still at a revision.

        A repeat with the same token and document has the same outcome.

        :param document: JSON document; it is stored in canonical form.
        :param revision: revision that the operator saw; 0 if there was none.
        :param token: token of the change.
        :param first_attempt: the token was never proposed before, so that a
            store that is down means a rejection instead of ``Unknown``.
        """
        try:
            body = check_document(document)
            check_token(token)
        except errors.ConfigError as error:
            return Rejected(tuple(error.problems))
        record = ChangeRecord('accepted', hashlib.sha256(body).hexdigest())
        key = CHANGES_PREFIX + token
        try:
            result = await self._store.transact(
                [
                    values.HasCreateRevision(key, 0),
                    values.HasRevision(configuration.CONFIG_KEY, revision),
                ],
                [
                    values.Put(configuration.CONFIG_KEY, body),
                    values.Put(key, msgspec.json.encode(record)),
                ],
                [values.Get(key), values.Get(configuration.CONFIG_KEY)],
            )
        except errors.StoreUnavailableError as error:
            if first_attempt:
                return Rejected((f'nothing was changed: {error}',), True)
            # An earlier attempt may have written it.
            return Unknown(token)
        except errors.StoreError as error:
            LOG.warning('outcome of change %s is unknown: %s', token, error)
            return Unknown(token)
        if result.succeeded:
            return Accepted(result.revision)
        found, current = result.reads
        if found is not None:
            return _read_record(token, found, record.digest)
        newest = current.mod_revision if current is not None else 0
        if newest < revision:
            # The store does not have the revision yet, so a delayed earlier
            # attempt could still succeed.
            return await self.settle(token)
        return Superseded(newest)

    async def settle(self, token: str) -> Outcome:
        """Return the final outcome of a change.

        A change that was not written is cancelled, because a write that is
        still under way could take effect after a mere reading.

        :returns: ``Accepted``, ``Rejected``, or ``Unknown`` when the store
            does not answer.
        """
        try:
            check_token(token)
        except errors.ConfigError as error:
            return Rejected(tuple(error.problems))
        key = CHANGES_PREFIX + token
        cancelled = ChangeRecord('cancelled')
        try:
            result = await self._store.create(
                key, msgspec.json.encode(cancelled)
            )
        except errors.StoreError as error:
            LOG.warning('change %s is not settled: %s', token, error)
            return Unknown(token)
        if result.succeeded or result.reads[0] is None:
            return _make_cancelled()
        return _read_record(token, result.reads[0])


def make_token() -> str:
    """Return a token for a new change."""
    return secrets.token_urlsafe(16)


def check_token(token: str) -> None:
    """Check the form of a change token.

    :raises damaskpin.errors.ConfigError: it is not a valid token.
    """
    if not _TOKEN.fullmatch(token):
        raise errors.ConfigError(
            ['change token must have 8 to 64 letters, digits, "-" or "_"']
        )


def check_document(document: bytes) -> bytes:
    """Return the canonical form of a document that may be proposed.

    :raises damaskpin.errors.ConfigError: it is invalid or does not fit.
    """
    config = configs.parse_config(document)
    problems = feasibility.check_config(config)
    if problems:
        raise errors.ConfigError(problems)
    body = configs.format_config(config)
    if len(body) > MAX_CONFIG_BYTES:
        raise errors.ConfigError(
            [f'document has {len(body)} bytes, limit is {MAX_CONFIG_BYTES}']
        )
    return body


def _read_record(
    token: str, found: values.KeyValue, digest: str = ''
) -> Outcome:
    try:
        record = msgspec.json.decode(found.value, type=ChangeRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        LOG.error('record of change %s can not be read: %s', token, error)
        return Unknown(token)
    if record.state == 'cancelled':
        return _make_cancelled()
    if digest and record.digest != digest:
        return Rejected(('the token belongs to another change',), True)
    # The record is written once, together with the configuration.
    return Accepted(found.mod_revision)


def _make_cancelled() -> Rejected:
    return Rejected(('the change was not written and is now cancelled',), True)
