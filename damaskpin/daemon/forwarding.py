"""HTTP queries to the other entries about requests and jobs."""

from __future__ import annotations

import asyncio
import logging
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from tornado import httpclient

if TYPE_CHECKING:
    from damaskpin.peer import membership as memberships
    from damaskpin.peer import messages

LOG = logging.getLogger(__name__)

FORWARD_TIMEOUT_S = 2.0
ACCOUNT_HEADER = 'Damaskpin-Account'


class Forwarder:
    """Queries the other live entries on behalf of a client account.

    :param membership: source of the live entries.
    :param http: HTTP client for the queries.
    :param peer_token: token that authenticates this entry to the others.
    """

    __slots__ = ('_http_client', '_instance', '_membership', '_peer_token')

    def __init__(
        self,
        membership: memberships.EntryMembership,
        http: httpclient.AsyncHTTPClient,
        peer_token: str,
    ) -> None:
        self._membership = membership
        self._instance = membership.peer.instance
        self._http_client = http
        self._peer_token = peer_token

    async def query_first(
        self, method: str, path: str, account: str
    ) -> Any | None:
        """Query all other entries; return the first answer that succeeded.

        :returns: decoded JSON document, or ``None`` without an answer.
        """
        calls = [
            self._query(peer, method, path, account)
            for peer in self._list_other_entries()
        ]
        for document in await asyncio.gather(*calls):
            if document is not None:
                return document
        return None

    async def query_all(self, path: str, account: str) -> list[Any]:
        """Query all other entries; return the answers that succeeded."""
        calls = [
            self._query(peer, 'GET', path, account)
            for peer in self._list_other_entries()
        ]
        answers = await asyncio.gather(*calls)
        return [answer for answer in answers if answer is not None]

    def _list_other_entries(self) -> list[messages.Peer]:
        own_instance = self._instance
        return [
            peer
            for peer in self._membership.list_entries()
            if peer.instance != own_instance
        ]

    async def _query(
        self, peer: messages.Peer, method: str, path: str, account: str
    ) -> Any | None:
        request = httpclient.HTTPRequest(
            peer.http + urllib.parse.quote(path),
            method=method,
            headers={
                'Authorization': f'Bearer {self._peer_token}',
                ACCOUNT_HEADER: account,
            },
            connect_timeout=FORWARD_TIMEOUT_S,
            request_timeout=FORWARD_TIMEOUT_S,
        )
        try:
            answer = await self._http_client.fetch(request)
            return msgspec.json.decode(answer.body)
        except (OSError, httpclient.HTTPError, msgspec.DecodeError) as error:
            LOG.debug('%s did not answer: %s', peer.instance, error)
            return None
