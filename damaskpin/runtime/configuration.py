"""Watches the operator's configuration and applies new versions."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import clocks
from damaskpin.runtime import mirror_follower
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.model import installation as installations
    from damaskpin.store import interface

    Decode = Callable[[bytes], installations.Installation]

LOG = logging.getLogger(__name__)


class ConfigurationWatcher:
    """Watches the configuration and keeps its highest version in force.

    :param store: client of the store.
    :param key: key of the configuration in the store.
    :param decode: decodes the stored configuration.
    :param on_change: called with each version that is put in force.
    :ivar installation: configuration in force; ``None`` before the first one.
    """

    __slots__ = (
        '_decode',
        '_follower',
        '_key',
        '_on_change',
        '_started',
        'installation',
    )

    def __init__(
        self,
        store: interface.Store,
        key: str,
        decode: Decode,
        on_change: Callable[[installations.Installation], None],
    ) -> None:
        self._key = key
        self._decode = decode
        self._on_change = on_change
        self._started = clocks.get_monotonic_time()
        self.installation: installations.Installation | None = None
        mirror = mirrors.Mirror(key, self.apply)
        self._follower = mirror_follower.MirrorFollower(
            store, mirror, lambda: True
        )

    async def run(self) -> None:
        """Watch the configuration key until cancelled."""
        await self._follower.run()

    def restart_watch(self) -> None:
        """Replace a pending watch of the configuration by a new one."""
        self._follower.restart_watch()

    def get_confirmation_age(self) -> float:
        """Return the seconds since the store last showed the newest version.

        Before its first answer they count from the start of the watcher.
        """
        last_contact_time = self._follower.last_contact_time
        return clocks.get_monotonic_time() - max(
            last_contact_time, self._started
        )

    def apply(self, change: transactions.Change) -> None:
        """Put a changed configuration in force if it is valid and newer."""
        if not isinstance(change, transactions.StoredItem):
            return
        if change.key != self._key:
            return
        try:
            installation = self._decode(change.value)
        except errors.MalformedError as error:
            LOG.error(
                'malformed configuration ignored', extra={'error': str(error)}
            )
            return
        current = self.installation
        if current is not None and installation.version <= current.version:
            LOG.info(
                'configuration ignored: its version is not newer',
                extra={
                    'version': installation.version,
                    'current': current.version,
                },
            )
            return
        self.installation = installation
        LOG.info(
            'configuration in force',
            extra={
                'version': installation.version,
                'revision': change.revision,
                'confirmation_age': round(self.get_confirmation_age(), 3),
            },
        )
        self._on_change(installation)
