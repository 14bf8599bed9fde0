"""Authentication of callers and operators by bearer token."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from damaskpin import errors

if TYPE_CHECKING:
    from damaskpin.model import config as configs

MAX_TOKEN_CHARS = 512


class TokenIndex:
    """Index of the client accounts in a configuration by token digest.

    :param config: configuration with the SHA-256 digests of the tokens.
    """

    __slots__ = ('_account_by_digest',)

    def __init__(self, config: configs.Config) -> None:
        self._account_by_digest = {
            account.token_sha256: account for account in config.accounts
        }

    def authenticate(self, header: str) -> configs.Account:
        """Return the client account whose token a request carries.

        :param header: value of the ``Authorization`` header.
        :raises damaskpin.errors.RequestError: the token is missing or
            unknown.
        """
        scheme, _, token = header.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise errors.RequestError(
                401,
                'Token missing',
                'set the header Authorization: Bearer <token>',
            )
        # The lookup compares digests only, so its duration reveals nothing
        # about a valid token.
        digest = hashlib.sha256(token[:MAX_TOKEN_CHARS].encode()).hexdigest()
        account = self._account_by_digest.get(digest)
        if account is None:
            raise errors.RequestError(
                401, 'Token unknown', 'no client account has this token'
            )
        return account


def has_operator_token(header: str, digest: str) -> bool:
    """Return whether a header contains the operators' token.

    :param header: value of the ``Authorization`` header.
    :param digest: SHA-256 of the operators' token, in hex; if it is empty, no
        token is accepted.
    """
    token = header.removeprefix('Bearer ')
    token_digest = hashlib.sha256(token.encode()).hexdigest()
    return bool(digest) and hmac.compare_digest(token_digest, digest)
