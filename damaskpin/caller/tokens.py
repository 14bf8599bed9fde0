"""Tokens with which callers prove their client account."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from damaskpin import errors

if TYPE_CHECKING:
    from damaskpin.model import config as configs

MAX_TOKEN_CHARS = 512


class TokenIndex:
    """Finds the client account of a token in one configuration.

    :param config: configuration with the digests of the tokens.
    """

    __slots__ = ('_accounts',)

    def __init__(self, config: configs.Config) -> None:
        self._accounts = {
            account.token_sha256: account for account in config.accounts
        }

    def authenticate(self, header: str) -> configs.Account:
        """Return the client account that a request belongs to.

        :param header: value of the ``Authorization`` header.
        :raises damaskpin.errors.RequestError: no or a wrong token.
        """
        scheme, _, token = header.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise errors.RequestError(
                401, 'Token missing', 'send Authorization: Bearer <token>'
            )
        # Only digests are compared, so the time of the lookup tells nothing
        # about a token.
        digest = hashlib.sha256(token[:MAX_TOKEN_CHARS].encode()).hexdigest()
        account = self._accounts.get(digest)
        if account is None:
            raise errors.RequestError(
                401, 'Token unknown', 'no client account has this token'
            )
        return account


def is_operator(header: str, digest: str) -> bool:
    """Return whether a header proves an operator.

    :param header: value of the ``Authorization`` header.
    :param digest: SHA-256 of the operators' token; empty refuses all.
    """
    token = header.removeprefix('Bearer ')
    found = hashlib.sha256(token.encode()).hexdigest()
    return bool(digest) and hmac.compare_digest(found, digest)
