"""Local copy of a part of the store, kept by lists and watches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    Handler = Callable[[transactions.Change], None]


class Mirror:
    """Newest known value of each key below a prefix.

    :param prefix: prefix of the keys.
    :param handler: called with each change, in the order of revisions for
        each key.
    """

    __slots__ = (
        '_handler',
        '_known',
        'complete',
        'items',
        'prefix',
        'revision',
    )

    def __init__(self, prefix: str, handler: Handler) -> None:
        self.prefix = prefix
        self._handler = handler
        self.items: dict[str, transactions.StoredItem] = {}
        self._known: dict[str, int] = {}
        self.revision = 0
        self.complete = False

    def replace(
        self, items: Iterable[transactions.StoredItem], revision: int
    ) -> None:
        """Take over a full list.

        :param revision: revision of the store before the list was read.
        """
        listed = set()
        for item in items:
            listed.add(item.key)
            self.apply(item)
        for key in list(self.items):
            if key not in listed and self._known[key] <= revision:
                self.apply(transactions.Removal(key, revision))
        self.revision = max(self.revision, revision)
        self.complete = True

    def apply_changes(self, changes: transactions.Changes) -> None:
        """Take over what a watch returned."""
        for change in changes.changes:
            self.apply(change)
        self.revision = max(self.revision, changes.revision)

    def apply(self, change: transactions.Change) -> bool:
        """Take over one change.

        :returns: whether it was news; an older one is ignored.
        """
        if change.revision <= self._known.get(change.key, 0):
            return False
        self._known[change.key] = change.revision
        match change:
            case transactions.StoredItem():
                self.items[change.key] = change
            case transactions.Removal():
                if self.items.pop(change.key, None) is None:
                    return False
        self._handler(change)
        return True
