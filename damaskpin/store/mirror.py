"""Local copy of a part of the store, updated by listings and watches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    Handler = Callable[[transactions.Change], None]


class Mirror:
    """Local copy of all keys below a prefix.

    :param prefix: prefix of the copied keys.
    :param handler: called with each change of the copy; changes of one key
        come in the order of their revisions.
    :ivar items: newest known item of each key.
    :ivar revision: store revision up to which the copy is current.
    :ivar complete: whether a full listing has been applied.
    :ivar listings: number of listings that were applied.
    """

    __slots__ = (
        '_handler',
        '_key_revisions',
        'complete',
        'items',
        'listings',
        'prefix',
        'revision',
    )

    def __init__(self, prefix: str, handler: Handler) -> None:
        self.prefix = prefix
        self._handler = handler
        self.items: dict[str, transactions.StoredItem] = {}
        self._key_revisions: dict[str, int] = {}
        self.revision = 0
        self.complete = False
        self.listings = 0

    def replace(
        self, items: Iterable[transactions.StoredItem], revision: int
    ) -> None:
        """Replace the copy by a full listing.

        A copied key that the listing lacks is removed, unless it was written
        after ``revision``.

        :param revision: revision of the store before the listing was read.
        """
        self.listings += 1
        listed = set()
        for item in items:
            listed.add(item.key)
            self.apply(item)
        for key in list(self.items):
            if key not in listed and self._key_revisions[key] <= revision:
                self.apply(transactions.Removal(key, revision))
        self.revision = max(self.revision, revision)
        self.complete = True

    def apply_changes(self, changes: transactions.Changes) -> None:
        """Apply the changes that a watch returned."""
        for change in changes.changes:
            self.apply(change)
        self.revision = max(self.revision, changes.revision)

    def apply(self, change: transactions.Change) -> bool:
        """Apply one change to the copy.

        :returns: whether the copy changed; a change that is not newer than
            the known revision of its key is ignored.
        """
        if change.revision <= self._key_revisions.get(change.key, 0):
            return False
        self._key_revisions[change.key] = change.revision
        match change:
            case transactions.StoredItem():
                self.items[change.key] = change
            case transactions.Removal():
                if self.items.pop(change.key, None) is None:
                    return False
        self._handler(change)
        return True
