"""Discovery of the live entries through their load balancer."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import msgspec
from tornado import httpclient

from damaskpin.caller import server as caller_server
from damaskpin.peer import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG = logging.getLogger(__name__)

SEED_QUERY_TIMEOUT_S = 2.0


async def fetch_members(
    client: httpclient.AsyncHTTPClient, seeds: Iterable[str], fleet_key: bytes
) -> list[messages.Peer]:
    """Fetch the live entries from the seeds.

    :param client: HTTP client for the requests.
    :param seeds: URLs of the load balancer in front of the entries.
    :param fleet_key: secret shared by all damaskpin processes.
    :returns: entries that the seeds reported; empty if no seed answered.
    """
    token = caller_server.make_peer_token(fleet_key)
    members: dict[str, messages.Peer] = {}
    for seed in seeds:
        request = httpclient.HTTPRequest(
            f'{seed}/v1/members',
            headers={'Authorization': f'Bearer {token}'},
            connect_timeout=SEED_QUERY_TIMEOUT_S,
            request_timeout=SEED_QUERY_TIMEOUT_S,
        )
        try:
            answer = await client.fetch(request)
            entries = json.loads(answer.body)['entries']
        except (OSError, ValueError, KeyError, httpclient.HTTPError) as error:
            LOG.debug('seed %s did not answer: %s', seed, error)
            continue
        for fields in entries:
            peer = msgspec.convert(list(fields.values()), messages.Peer)
            members[peer.instance] = peer
    return list(members.values())
