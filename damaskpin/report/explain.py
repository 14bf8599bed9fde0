"""Bounded history of what was decided, when, by which process and why."""

from __future__ import annotations

import collections

import msgspec

# Together with the text limits these keep the history below MAX_BYTES, a
# quarter of the 128 MB that a daemon may use.
MAX_ENTRIES = 8_000
MAX_ENTRIES_PER_WORK = 64
MAX_BYTES = 32 * 1024 * 1024

MAX_DETAIL_CHARACTERS = 300
MAX_NAME_CHARACTERS = 64
MAX_WORK_CHARACTERS = 128
DEFAULT_RECENT = 50


class Entry(msgspec.Struct, frozen=True):
    """One decision about a request or job.

    :ivar now: monotonic seconds of the process; orders its own entries only.
    :ivar wall: seconds since the epoch, for readers.
    :ivar process: instance id of the process that decided.
    :ivar repeats: how often the same decision followed directly.
    :ivar last_wall: seconds since the epoch of the last repetition.
    """

    now: float
    wall: float
    event: str
    detail: str
    process: str
    repeats: int = 0
    last_wall: float | None = None


class Trail(msgspec.Struct, frozen=True):
    """What is kept about a request or job, oldest entry first.

    :ivar account: its client account, empty when no entry named it.
    :ivar dropped: entries after the first that are no longer kept.
    """

    work: str
    account: str
    entries: tuple[Entry, ...]
    dropped: int


class _Work:
    """Keys of the entries of a request or job."""

    __slots__ = ('account', 'dropped', 'keys')

    def __init__(self) -> None:
        self.account = ''
        self.dropped = 0
        self.keys: list[int] = []


class History:
    """Entries of all requests and jobs, in memory.

    A request or job keeps its first entry and its latest ones. When all
    entries together exceed the limit, the oldest one of any work goes. An
    entry that equals the one before it is counted instead of stored, so a
    job that waits for long does not displace the history of others.
    """

    def __init__(
        self,
        max_entries: int = MAX_ENTRIES,
        max_entries_per_work: int = MAX_ENTRIES_PER_WORK,
    ) -> None:
        if max_entries < 1 or max_entries_per_work < 2:
            raise ValueError(
                'max_entries must be at least 1 and max_entries_per_work at '
                f'least 2; got {max_entries} and {max_entries_per_work}'
            )
        self._max_entries = max_entries
        self._max_per_work = max_entries_per_work
        self._next_key = 0
        self._entries: collections.OrderedDict[int, tuple[str, Entry]] = (
            collections.OrderedDict()
        )
        self._works: dict[str, _Work] = {}
        # Works of an account; the one with the latest entry is last.
        self._accounts: dict[str, collections.OrderedDict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self,
        now: float,
        wall: float,
        work: str,
        event: str,
        detail: str,
        process: str,
        account: str = '',
    ) -> None:
        """Add an entry; texts above their limit are cut.

        :param now: monotonic seconds.
        :param wall: seconds since the epoch.
        :param work: request id or job id.
        :param event: short name of the decision.
        :param detail: reason.
        :param process: instance id of the process that decided.
        :param account: client account; needed in one entry of each work for
            :meth:`list_recent`.
        """
        name = _cut(work, MAX_WORK_CHARACTERS)
        entry = Entry(
            now,
            wall,
            _cut(event, MAX_NAME_CHARACTERS),
            _cut(detail, MAX_DETAIL_CHARACTERS),
            _cut(process, MAX_NAME_CHARACTERS),
        )
        known = self._works.setdefault(name, _Work())
        if account and not known.account:
            known.account = _cut(account, MAX_NAME_CHARACTERS)
        self._touch(name, known)
        if known.keys and self._count_repetition(known.keys[-1], entry):
            return
        self._next_key += 1
        self._entries[self._next_key] = (name, entry)
        known.keys.append(self._next_key)
        if len(known.keys) > self._max_per_work:
            del self._entries[known.keys.pop(1)]
            known.dropped += 1
        if len(self._entries) > self._max_entries:
            self._drop_oldest()

    def get(self, work: str) -> Trail | None:
        """Return what is kept about a request or job.

        :param work: request id or job id.
        :returns: ``None`` when nothing is kept.
        """
        name = _cut(work, MAX_WORK_CHARACTERS)
        known = self._works.get(name)
        if known is None:
            return None
        entries = tuple(self._entries[key][1] for key in known.keys)
        return Trail(name, known.account, entries, known.dropped)

    def list_recent(
        self, account: str, limit: int = DEFAULT_RECENT
    ) -> list[Trail]:
        """Return the work of an account, latest entry first.

        :param account: client account.
        :param limit: number of requests and jobs at most.
        """
        name = _cut(account, MAX_NAME_CHARACTERS)
        trails: list[Trail] = []
        for work in reversed(self._accounts.get(name, {})):
            if len(trails) >= limit:
                break
            trails.append(self.get(work))
        return trails

    def _touch(self, name: str, known: _Work) -> None:
        if not known.account:
            return
        works = self._accounts.setdefault(
            known.account, collections.OrderedDict()
        )
        works[name] = None
        works.move_to_end(name)

    def _count_repetition(self, key: int, entry: Entry) -> bool:
        name, last = self._entries[key]
        if (last.event, last.detail, last.process) != (
            entry.event,
            entry.detail,
            entry.process,
        ):
            return False
        self._entries[key] = (
            name,
            msgspec.structs.replace(
                last, repeats=last.repeats + 1, last_wall=entry.wall
            ),
        )
        return True

    def _drop_oldest(self) -> None:
        key, (name, _) = self._entries.popitem(last=False)
        known = self._works[name]
        known.keys.remove(key)
        known.dropped += 1
        if known.keys:
            return
        del self._works[name]
        if not known.account:
            return
        works = self._accounts[known.account]
        del works[name]
        if not works:
            del self._accounts[known.account]


def _cut(text: str, limit: int) -> str:
    if len(text) <= limit:
        return text
    return text[: limit - 1] + '\N{HORIZONTAL ELLIPSIS}'
