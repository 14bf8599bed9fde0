"""Follows the operators' configuration and puts new versions in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import following
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.model import installation as installations
    from damaskpin.store import port

    Decode = Callable[[bytes], installations.Installation]

LOG = logging.getLogger(__name__)


class Configuration:
    """The newest version that this process has seen; it never goes back.

    :param store: access to the store.
    :param key: key of the configuration.
    :param decode: decodes the configuration.
    :param on_change: called with each version that comes into force.
    :ivar installation: version in force; ``None`` before the first one.
    """

    __slots__ = ('_decode', '_follower', '_key', '_on_change', 'installation')

    def __init__(
        self,
        store: port.Store,
        key: str,
        decode: Decode,
        on_change: Callable[[installations.Installation], None],
    ) -> None:
        self._key = key
        self._decode = decode
        self._on_change = on_change
        self.installation: installations.Installation | None = None
        mirror = mirrors.Mirror(key, self.apply)
        self._follower = following.Follower(store, mirror, lambda: True)

    async def run(self) -> None:
        """Follow the key until cancelled."""
        await self._follower.run()

    def apply(self, change: transactions.Change) -> None:
        """Put a version in force unless it is older or malformed."""
        if not isinstance(change, transactions.StoredItem):
            return
        if change.key != self._key:
            return
        try:
            installation = self._decode(change.value)
        except errors.MalformedError as error:
            LOG.error('configuration refused', extra={'error': str(error)})
            return
        former = self.installation
        if former is not None and installation.version <= former.version:
            LOG.info(
                'older configuration ignored',
                extra={
                    'version': installation.version,
                    'current': former.version,
                },
            )
            return
        self.installation = installation
        LOG.info(
            'configuration in force',
            extra={
                'version': installation.version,
                'revision': change.revision,
            },
        )
        self._on_change(installation)
