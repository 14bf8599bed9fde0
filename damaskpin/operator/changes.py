"""Changes of the stored configuration by compare-and-swap."""

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
# The store accepts values of at most this size.
MAX_CONFIG_BYTES = 1024 * 1024

_TOKEN_PATTERN = re.compile(r'[A-Za-z0-9_-]{8,64}')


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Outcome of a change that was written to the store.

    :ivar revision: store revision of the changed configuration.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Outcome of a change that will never be written under its token.

    :ivar reasons: one text for each problem, with the path of the value.
    :ivar retryable: whether the same change may succeed under a new token.
    """

    reasons: tuple[str, ...]
    retryable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Outcome of a change that was not written because of a newer one.

    :ivar revision: current revision of the configuration; 0 if none exists.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a change when the store did not answer.

    :ivar token: token with which ``settle`` determines the final outcome.
    """

    token: str


ChangeOutcome = Accepted | Rejected | Superseded | Unknown


class ChangeRecord(msgspec.Struct, frozen=True):
    """Permanent record of a change in the store.

    :ivar state: ``accepted``, or ``cancelled`` if the change was settled
        before it was written.
    :ivar digest: SHA-256 of the configuration document, in hex.
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
    ) -> ChangeOutcome:
        """Replace the configuration if its revision is the expected one.

        A retry with the same token and document has the same outcome.

        :param document: JSON document; it is stored in canonical form.
        :param revision: expected revision of the current configuration; 0 if
            none exists.
        :param token: token of the change.
        :param first_attempt: whether the token was never proposed before. If
            so, an unavailable store gives ``Rejected``, not ``Unknown``.
        """
        try:
            body = canonicalize_document(document)
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
                return Rejected(
                    (f'configuration was not changed: {error}',), True
                )
            # An earlier attempt may have written the change, so the outcome is
            # unknown.
            return Unknown(token)
        except errors.StoreError as error:
            LOG.warning(
                'outcome of configuration change %s is unknown: %s',
                token,
                error,
            )
            return Unknown(token)
        if result.succeeded:
            return Accepted(result.revision)
        stored, current_config = result.reads
        if stored is not None:
            return _decode_outcome(token, stored, record.digest)
        current_revision = (
            current_config.mod_revision if current_config is not None else 0
        )
        if current_revision < revision:
            # The store has not reached the expected revision yet, so a delayed
            # earlier attempt of the change could still succeed.
            return await self.settle(token)
        return Superseded(current_revision)

    async def settle(self, token: str) -> ChangeOutcome:
        """Return the final outcome of a change.

        A change that was not written is cancelled. Reading its record alone
        would not be enough, because a delayed write could still take effect
        afterwards.

        :returns: ``Accepted``, ``Rejected``, or ``Unknown`` if the store does
            not answer or the change record cannot be decoded.
        """
        try:
            check_token(token)
        except errors.ConfigError as error:
            return Rejected(tuple(error.problems))
        key = CHANGES_PREFIX + token
        cancelled_record = ChangeRecord('cancelled')
        try:
            result = await self._store.create(
                key, msgspec.json.encode(cancelled_record)
            )
        except errors.StoreError as error:
            LOG.warning(
                'configuration change %s could not be settled: %s',
                token,
                error,
            )
            return Unknown(token)
        if result.succeeded or result.reads[0] is None:
            return _make_cancelled_outcome()
        return _decode_outcome(token, result.reads[0])


def generate_token() -> str:
    """Return a random token for a new configuration change."""
    return secrets.token_urlsafe(16)


def check_token(token: str) -> None:
    """Check the format of a change token.

    :raises damaskpin.errors.ConfigError: the token is malformed.
    """
    if not _TOKEN_PATTERN.fullmatch(token):
        raise errors.ConfigError(
            ['change token must have 8 to 64 letters, digits, "-" or "_"']
        )


def canonicalize_document(document: bytes) -> bytes:
    """Check a configuration document and return its canonical form.

    :raises damaskpin.errors.ConfigError: the document is invalid or too
        large, or its guarantees do not fit the racks.
    """
    config = configs.parse_config(document)
    problems = feasibility.check_config(config)
    if problems:
        raise errors.ConfigError(problems)
    body = configs.format_config(config)
    if len(body) > MAX_CONFIG_BYTES:
        raise errors.ConfigError(
            [f'document has {len(body)} bytes; limit is {MAX_CONFIG_BYTES}']
        )
    return body


def _decode_outcome(
    token: str, stored: values.KeyValue, digest: str = ''
) -> ChangeOutcome:
    try:
        record = msgspec.json.decode(stored.value, type=ChangeRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        LOG.error(
            'record of configuration change %s cannot be decoded: %s',
            token,
            error,
        )
        return Unknown(token)
    if record.state == 'cancelled':
        return _make_cancelled_outcome()
    if digest and record.digest != digest:
        return Rejected(
            ('change token was already used for a different document',), True
        )
    # The change record is written only once, in the transaction that writes
    # the configuration, so both have the same revision.
    return Accepted(stored.mod_revision)


def _make_cancelled_outcome() -> Rejected:
    return Rejected(('change was cancelled before it was written',), True)
