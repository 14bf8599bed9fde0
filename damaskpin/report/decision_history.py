"""Bounded in-memory history of decisions about requests and jobs."""

from __future__ import annotations

import collections

import msgspec

# These limits and the text limits below keep the history smaller than
# MAX_BYTES, a quarter of the 128 MB that a daemon may use.
MAX_ENTRIES = 8_000
MAX_ENTRIES_PER_WORK = 64
MAX_BYTES = 32 * 1024 * 1024

MAX_DETAIL_CHARACTERS = 300
MAX_NAME_CHARACTERS = 64
MAX_WORK_ID_CHARACTERS = 128
DEFAULT_RECENT = 50


class HistoryEntry(msgspec.Struct, frozen=True):
    """One decision about a request or job.

    :ivar now: monotonic seconds of the process; orders its own entries only.
    :ivar wall: seconds since the epoch, for display.
    :ivar event: short name of the decision.
    :ivar detail: reason of the decision.
    :ivar process: instance id of the process that decided.
    :ivar repeats: number of equal decisions that directly followed.
    :ivar last_wall: seconds since the epoch of the last repetition.
    """

    now: float
    wall: float
    event: str
    detail: str
    process: str
    repeats: int = 0
    last_wall: float | None = None


class WorkHistory(msgspec.Struct, frozen=True):
    """Retained history of one request or job, oldest entry first.

    :ivar work: id of the request or job.
    :ivar account: client account of the request or job; empty if no entry
        contained it.
    :ivar dropped: number of entries that were discarded.
    """

    work: str
    account: str
    entries: tuple[HistoryEntry, ...]
    dropped: int


class _WorkRecord:
    """Index of the history entries of one request or job."""

    __slots__ = ('account', 'dropped', 'entry_keys')

    def __init__(self) -> None:
        self.account = ''
        self.dropped = 0
        self.entry_keys: list[int] = []


class DecisionHistory:
    """Bounded history of decisions about all requests and jobs.

    For each request or job, the first entry and the latest ones are kept. If
    all entries together exceed the total limit, the oldest one is discarded,
    whichever request or job it belongs to. An entry that equals the previous
    one of the same request or job only increases its repeat count. The
    repeated entries of a long-waiting job thus do not displace others.

    :param max_entries: limit of entries in total.
    :param max_entries_per_work: limit of entries of one request or job.
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
        self._max_entries_per_work = max_entries_per_work
        self._next_entry_key = 0
        self._entries: collections.OrderedDict[
            int, tuple[str, HistoryEntry]
        ] = collections.OrderedDict()
        self._work_records: dict[str, _WorkRecord] = {}
        # Ids of requests and jobs by account, ordered by their latest entry;
        # the most recent one is last.
        self._recent_work_by_account: dict[
            str, collections.OrderedDict[str, None]
        ] = {}

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
        """Add an entry to the history; texts above their limit are truncated.

        :param now: monotonic seconds.
        :param wall: seconds since the epoch.
        :param work: request id or job id.
        :param event: short name of the decision.
        :param detail: reason of the decision.
        :param process: instance id of the process that decided.
        :param account: client account; :meth:`list_recent` finds only requests
            and jobs for which at least one entry contains it.
        """
        work_id = _truncate(work, MAX_WORK_ID_CHARACTERS)
        entry = HistoryEntry(
            now,
            wall,
            _truncate(event, MAX_NAME_CHARACTERS),
            _truncate(detail, MAX_DETAIL_CHARACTERS),
            _truncate(process, MAX_NAME_CHARACTERS),
        )
        record = self._work_records.setdefault(work_id, _WorkRecord())
        if account and not record.account:
            record.account = _truncate(account, MAX_NAME_CHARACTERS)
        self._mark_recent(work_id, record)
        if record.entry_keys and self._count_repetition(
            record.entry_keys[-1], entry
        ):
            return
        self._next_entry_key += 1
        self._entries[self._next_entry_key] = (work_id, entry)
        record.entry_keys.append(self._next_entry_key)
        if len(record.entry_keys) > self._max_entries_per_work:
            del self._entries[record.entry_keys.pop(1)]
            record.dropped += 1
        if len(self._entries) > self._max_entries:
            self._discard_oldest_entry()

    def get(self, work: str) -> WorkHistory | None:
        """Return the retained history of a request or job.

        :param work: request id or job id.
        :returns: history, or ``None`` if no entry is retained.
        """
        work_id = _truncate(work, MAX_WORK_ID_CHARACTERS)
        record = self._work_records.get(work_id)
        if record is None:
            return None
        entries = tuple(
            self._entries[entry_key][1] for entry_key in record.entry_keys
        )
        return WorkHistory(work_id, record.account, entries, record.dropped)

    def list_recent(
        self, account: str, limit: int = DEFAULT_RECENT
    ) -> list[WorkHistory]:
        """Return the histories of an account, most recently updated first.

        :param account: client account.
        :param limit: maximum number of requests and jobs to return.
        """
        account_name = _truncate(account, MAX_NAME_CHARACTERS)
        histories: list[WorkHistory] = []
        for work in reversed(
            self._recent_work_by_account.get(account_name, {})
        ):
            if len(histories) >= limit:
                break
            histories.append(self.get(work))
        return histories

    def _mark_recent(self, work_id: str, record: _WorkRecord) -> None:
        if not record.account:
            return
        work_ids = self._recent_work_by_account.setdefault(
            record.account, collections.OrderedDict()
        )
        work_ids[work_id] = None
        work_ids.move_to_end(work_id)

    def _count_repetition(self, entry_key: int, entry: HistoryEntry) -> bool:
        work_id, last_entry = self._entries[entry_key]
        if (last_entry.event, last_entry.detail, last_entry.process) != (
            entry.event,
            entry.detail,
            entry.process,
        ):
            return False
        self._entries[entry_key] = (
            work_id,
            msgspec.structs.replace(
                last_entry,
                repeats=last_entry.repeats + 1,
                last_wall=entry.wall,
            ),
        )
        return True

    def _discard_oldest_entry(self) -> None:
        entry_key, (work_id, _) = self._entries.popitem(last=False)
        record = self._work_records[work_id]
        record.entry_keys.remove(entry_key)
        record.dropped += 1
        if record.entry_keys:
            return
        del self._work_records[work_id]
        if not record.account:
            return
        work_ids = self._recent_work_by_account[record.account]
        del work_ids[work_id]
        if not work_ids:
            del self._recent_work_by_account[record.account]


def _truncate(text: str, limit: int) -> str:
    if len(text) <= limit:
        return text
    return text[: limit - 1] + '\N{HORIZONTAL ELLIPSIS}'
