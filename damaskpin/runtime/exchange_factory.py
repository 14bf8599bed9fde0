"""Creates the exchange through which a process reaches its peers."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from damaskpin.peer import exchange as exchanges

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.runtime import options


def make_exchange(
    settings: options.Options,
    receive: exchanges.MessageHandler,
    on_failure: Callable[[str], None],
) -> exchanges.Exchange:
    """Return an exchange with a new random incarnation token.

    :param receive: called with each message and its frame; returns the reply
        to the sender or ``None``.
    :param on_failure: called with the address of a peer that did not answer.
    """
    return exchanges.Exchange(
        settings.instance,
        secrets.token_hex(6),
        settings.listen,
        settings.address,
        settings.fleet_key,
        receive,
        on_failure,
    )
