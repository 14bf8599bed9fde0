"""Idempotency claims in the store, and keys issued by the system."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import hashlib
import hmac

import msgspec

from damaskpin import errors

TTL_S = 24 * 3600
STORE_TIMEOUT_S = 2.0
MAX_STORE_CALLS = 6
KEY_PREFIX = 'dpk1_'
KEY_MAC_BYTES = 16
MAX_KEY_CHARACTERS = 1024


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Which attempt a caller's key stands for.

    :ivar agent: instance id of the agent that may run the attempt.
    :ivar expires_uptime: fixed together with the attempt. If each entry chose
        its own, the attempt could start again after its record was dropped.
    :ivar digest: hex digest of the request that the key was first used with.
    """

    attempt: str
    agent: str
    incarnation: str
    expires_uptime: float
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim of a key.

    :ivar step: is handed back with the result.
    :ivar key: SHA-256 of the caller's key, in hex.
    """

    request: str
    step: int
    account: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Create the claim of a key, unless there is one."""

    request: str
    step: int
    account: str
    key: str
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class MoveClaim:
    """Replace the claim of a key by compare-and-swap."""

    request: str
    step: int
    account: str
    key: str
    before: Claim
    after: Claim


def format_path(account: str, key: str) -> str:
    """Return the store key of a claim, which is kept for ``TTL_S``.

    :param key: SHA-256 of the caller's key, in hex.
    """
    return f'/damaskpin/claims/{account}/{key}'


StoreCall = ReadClaim | WriteClaim | MoveClaim


@dataclasses.dataclass(frozen=True, slots=True)
class Holds:
    """The store answered; this is what it holds after the call."""

    claim: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The store was not reached; the call had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The store did not answer; a write may have taken effect."""


StoreResult = Holds | Refused | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The store holds this claim; its attempt is the one to send."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The store gave no certainty; the wanted attempt must not be sent."""


class Settler:
    """Brings the claim of one request into the store.

    Only an attempt that the store is known to hold may be sent. A write whose
    answer was lost is settled by reading the claim back.

    :param request: request id.
    :param account: client account.
    :param key: the caller's key.
    """

    __slots__ = (
        '_account',
        '_before',
        '_calls',
        '_key',
        '_request',
        '_step',
        '_wanted',
        'due',
    )

    def __init__(self, request: str, account: str, key: str) -> None:
        self._request = request
        self._account = account
        self._key = hashlib.sha256(key.encode()).hexdigest()
        self._step = 0
        self._calls = 0
        self._wanted: Claim | None = None
        self._before: Claim | None = None
        self.due: float | None = None

    def propose(
        self, now: float, before: Claim | None, wanted: Claim
    ) -> StoreCall:
        """Start to bring a claim into the store.

        :param before: claim whose attempt was refused, or ``None`` when none
            is known.
        """
        self._before = before
        self._wanted = wanted
        self._calls = 0
        return self._write(now)

    def receive(
        self, now: float, step: int, result: StoreResult
    ) -> StoreCall | Settled | Failed | None:
        """Handle the result of a store call; late results are ignored."""
        if self.due is None or step != self._step:
            return None
        match result:
            case Refused():
                self.due = None
                return Failed()
            case Unknown():
                return self._next(now, read=True)
            case Holds(claim=None):
                # The write was lost, or the old claim expired.
                self._before = None
                return self._next(now, read=False)
            case Holds(claim=claim) if claim == self._before:
                return self._next(now, read=False)
            case Holds(claim=claim):
                self.due = None
                return Settled(claim)
        return None

    def tick(self, now: float) -> StoreCall | Failed | None:
        """Treat a store call without an answer as unknown."""
        if self.due is None or now < self.due:
            return None
        return self._next(now, read=True)

    def _next(self, now: float, read: bool) -> StoreCall | Failed:
        if self._calls >= MAX_STORE_CALLS:
            self.due = None
            return Failed()
        if not read:
            return self._write(now)
        self._count(now)
        return ReadClaim(self._request, self._step, self._account, self._key)

    def _write(self, now: float) -> StoreCall:
        self._count(now)
        if self._before is None:
            return WriteClaim(
                self._request,
                self._step,
                self._account,
                self._key,
                self._wanted,
            )
        return MoveClaim(
            self._request,
            self._step,
            self._account,
            self._key,
            self._before,
            self._wanted,
        )

    def _count(self, now: float) -> None:
        self._step += 1
        self._calls += 1
        self.due = now + STORE_TIMEOUT_S


class IssuedKey(msgspec.Struct, frozen=True, array_like=True):
    """Content of a key issued by the system; it needs no claim."""

    account: str
    service: str
    attempt: str
    agent: str
    incarnation: str
    expires_uptime: float


def format_key(secret: bytes, key: IssuedKey) -> str:
    """Return the text of a key, with its authentication code."""
    payload = msgspec.msgpack.encode(key)
    data = _compute_mac(secret, payload) + payload
    return KEY_PREFIX + base64.urlsafe_b64encode(data).decode().rstrip('=')


def parse_key(secret: bytes, text: str) -> IssuedKey:
    """Check and decode a key issued by the system.

    :raises damaskpin.errors.RequestError: forged, damaged or malformed.
    """
    encoded = text.removeprefix(KEY_PREFIX)
    try:
        if len(text) > MAX_KEY_CHARACTERS or encoded == text:
            raise ValueError('not a key of this system')
        data = base64.b64decode(
            encoded + '=' * (-len(encoded) % 4), altchars=b'-_', validate=True
        )
        mac, payload = data[:KEY_MAC_BYTES], data[KEY_MAC_BYTES:]
        if not hmac.compare_digest(mac, _compute_mac(secret, payload)):
            raise ValueError('authentication code does not match')
        key = msgspec.msgpack.decode(payload, type=IssuedKey)
        # The unused bits of the last character would give a key many texts.
        if format_key(secret, key) != text:
            raise ValueError('not in canonical form')
        return key
    except (ValueError, binascii.Error, msgspec.DecodeError) as error:
        raise errors.RequestError(
            400, 'Invalid idempotency key', str(error)
        ) from error


def _compute_mac(secret: bytes, payload: bytes) -> bytes:
    digest = hmac.digest(secret, b'idempotency-key' + payload, hashlib.sha256)
    return digest[:KEY_MAC_BYTES]
