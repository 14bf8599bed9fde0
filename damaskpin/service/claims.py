"""Binding of idempotency keys to attempts: claims and issued keys.

An idempotency key that the caller chose is bound to one attempt by a claim, a
record in the store. A key that an entry issued to the caller names its attempt
itself and needs no claim.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import hashlib
import hmac

import msgspec

from damaskpin import errors

# Seconds for which the store keeps a claim.
CLAIM_TTL_S = 24 * 3600
STORE_TIMEOUT_S = 2.0
MAX_STORE_CALLS = 6
KEY_PREFIX = 'dpk1_'
KEY_MAC_BYTES = 16
MAX_KEY_CHARACTERS = 1024


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Record in the store that binds a key chosen by a caller to an attempt.

    :ivar attempt: attempt id.
    :ivar agent: instance id of the only agent that may run the attempt.
    :ivar incarnation: id of that agent's process run; a restarted agent has
        another one and does not run the attempt.
    :ivar expires_uptime: uptime of the agent in seconds after which the
        attempt must not start. It is stored with the attempt: if each entry
        chose its own expiry, the attempt could start a second time after the
        agent dropped its record of the attempt.
    :ivar digest: hex digest of the request that the key was first used with.
    """

    attempt: str
    agent: str
    incarnation: str
    expires_uptime: float
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Store call that reads the claim of a key.

    :ivar request: request id.
    :ivar step: number of the store call, which its result repeats.
    :ivar account: client account.
    :ivar key: SHA-256 of the caller's key, in hex.
    """

    request: str
    step: int
    account: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreateClaim:
    """Store call that creates the claim of a key unless one exists."""

    request: str
    step: int
    account: str
    key: str
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceClaim:
    """Store call that replaces the claim of a key by compare-and-swap.

    :ivar before: claim that must be stored for the call to take effect.
    :ivar after: new claim.
    """

    request: str
    step: int
    account: str
    key: str
    before: Claim
    after: Claim


def format_path(account: str, key: str) -> str:
    """Return the store key of a claim; the store keeps it for ``CLAIM_TTL_S``.

    :param key: SHA-256 of the caller's key, in hex.
    """
    return f'/damaskpin/claims/{account}/{key}'


StoreCall = ReadClaim | CreateClaim | ReplaceClaim


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Result of a store call that was answered.

    :ivar claim: claim that is stored after the call, or ``None``.
    """

    claim: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """Result of a store call that did not reach the store.

    The call has no effect.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreResultUnknown:
    """Result of a store call that failed; a write may have taken effect."""


StoreResult = StoreAnswered | StoreUnreachable | StoreResultUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStored:
    """Final result of a claim writer: a claim is stored for the key.

    The attempt of the stored claim may be sent.

    :ivar claim: stored claim, which may be that of another request.
    """

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """Final result of a claim writer: the stored claim is unknown.

    No attempt may be sent.
    """


class ClaimWriter:
    """Writes the claim of one request to the store.

    An attempt may be sent only when its claim is known to be stored. After a
    write without an answer, the claim is read back.

    :param request: request id.
    :param account: client account.
    :param key: idempotency key that the caller chose.
    """

    __slots__ = (
        '_account',
        '_call_count',
        '_key',
        '_proposed_claim',
        '_replaced_claim',
        '_request',
        '_step',
        'timeout_at',
    )

    def __init__(self, request: str, account: str, key: str) -> None:
        self._request = request
        self._account = account
        self._key = hashlib.sha256(key.encode()).hexdigest()
        self._step = 0
        self._call_count = 0
        self._proposed_claim: Claim | None = None
        self._replaced_claim: Claim | None = None
        self.timeout_at: float | None = None

    def propose(
        self, now: float, before: Claim | None, proposed_claim: Claim
    ) -> StoreCall:
        """Start to write a claim, and return the first store call.

        :param before: stored claim to replace, whose attempt was refused, or
            ``None`` if none is known.
        :param proposed_claim: claim to write.
        """
        self._replaced_claim = before
        self._proposed_claim = proposed_claim
        self._call_count = 0
        return self._make_write_call(now)

    def receive(
        self, now: float, step: int, result: StoreResult
    ) -> StoreCall | ClaimStored | ClaimFailed | None:
        """Handle the result of a store call; ignore results of earlier calls.

        :param step: number of the store call.
        :returns: next store call, final result, or ``None`` if ignored.
        """
        if self.timeout_at is None or step != self._step:
            return None
        match result:
            case StoreUnreachable():
                self.timeout_at = None
                return ClaimFailed()
            case StoreResultUnknown():
                return self._make_next_call(now, read=True)
            case StoreAnswered(claim=None):
                # The store holds no claim for the key: the last write had no
                # effect, or the claim to be replaced has expired. The
                # proposed claim is therefore created.
                self._replaced_claim = None
                return self._make_next_call(now, read=False)
            case StoreAnswered(claim=claim) if claim == self._replaced_claim:
                return self._make_next_call(now, read=False)
            case StoreAnswered(claim=claim):
                self.timeout_at = None
                return ClaimStored(claim)
        return None

    def tick(self, now: float) -> StoreCall | ClaimFailed | None:
        """Continue after a store call that was not answered in time."""
        if self.timeout_at is None or now < self.timeout_at:
            return None
        return self._make_next_call(now, read=True)

    def _make_next_call(
        self, now: float, read: bool
    ) -> StoreCall | ClaimFailed:
        if self._call_count >= MAX_STORE_CALLS:
            self.timeout_at = None
            return ClaimFailed()
        if not read:
            return self._make_write_call(now)
        self._start_call(now)
        return ReadClaim(self._request, self._step, self._account, self._key)

    def _make_write_call(self, now: float) -> StoreCall:
        self._start_call(now)
        if self._replaced_claim is None:
            return CreateClaim(
                self._request,
                self._step,
                self._account,
                self._key,
                self._proposed_claim,
            )
        return ReplaceClaim(
            self._request,
            self._step,
            self._account,
            self._key,
            self._replaced_claim,
            self._proposed_claim,
        )

    def _start_call(self, now: float) -> None:
        self._step += 1
        self._call_count += 1
        self.timeout_at = now + STORE_TIMEOUT_S


class IssuedKey(msgspec.Struct, frozen=True, array_like=True):
    """Content of an idempotency key that an entry issued to a caller.

    The key names the only attempt that it can start, so it needs no claim in
    the store. The caller asks for it before it submits a request.

    :ivar account: client account that the key was issued to.
    :ivar service: service whose requests may use the key.
    :ivar attempt: attempt id.
    :ivar agent: instance id of the only agent that may run the attempt.
    :ivar incarnation: id of that agent's process run.
    :ivar expires_uptime: uptime of the agent in seconds after which the
        attempt must not start.
    """

    account: str
    service: str
    attempt: str
    agent: str
    incarnation: str
    expires_uptime: float


def format_key(secret: bytes, key: IssuedKey) -> str:
    """Encode an issued key as text, with its authentication code."""
    payload = msgspec.msgpack.encode(key)
    data = _compute_mac(secret, payload) + payload
    return KEY_PREFIX + base64.urlsafe_b64encode(data).decode().rstrip('=')


def parse_key(secret: bytes, text: str) -> IssuedKey:
    """Verify and decode the text of an issued key.

    :raises damaskpin.errors.RequestError: if the key is forged or malformed.
    """
    encoded = text.removeprefix(KEY_PREFIX)
    try:
        if len(text) > MAX_KEY_CHARACTERS or encoded == text:
            raise ValueError('not a key issued by damaskpin')
        data = base64.b64decode(
            encoded + '=' * (-len(encoded) % 4), altchars=b'-_', validate=True
        )
        mac, payload = data[:KEY_MAC_BYTES], data[KEY_MAC_BYTES:]
        if not hmac.compare_digest(mac, _compute_mac(secret, payload)):
            raise ValueError('authentication code does not match')
        key = msgspec.msgpack.decode(payload, type=IssuedKey)
        # Base64 decoding ignores unused bits of the last character, so that
        # several texts would be accepted for one key.
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
