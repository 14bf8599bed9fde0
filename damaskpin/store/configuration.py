"""Distribution of the configuration: a state machine without I/O."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import errors
from damaskpin.model import config as configs
from damaskpin.operator import feasibility
from damaskpin.peer import messages
from damaskpin.store import fetcher

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

LOG = logging.getLogger(__name__)

CONFIG_KEY = '/damaskpin/config'
# Subject of configuration events in the explain history.
HISTORY_SUBJECT = 'config'

# Seconds between repeats of a revision notice, which tells a peer the newest
# configuration revision. The last interval is used until the peer confirms the
# notice or is dead. An agent may report only every 12 s, too late for the
# limit of 9 s within which a configuration change must reach all processes.
# Six notices are sent within 7 s: at 10% message loss, on average 0.0015 of
# 1,500 agents miss all six.
NOTICE_INTERVALS_S = (1.0, 1.0, 1.0, 2.0, 2.0, 4.0)


@dataclasses.dataclass(slots=True)
class _Notice:
    """Revision notice to a peer that has not confirmed the newest revision.

    :ivar repeats: index in ``NOTICE_INTERVALS_S`` of the interval before the
        next repeat; the number of repeats so far, up to the last index.
    :ivar due: monotonic time of the next repeat, in seconds.
    """

    repeats: int
    due: float


class ConfigHolder:
    """Keeps the newest configuration that this process has seen.

    An entry applies whole documents, which it reads from the store or gets
    from another entry, and notifies its neighbours and its agents. An agent
    holds no document; it records only the revision number.

    :param instance: instance id of this process.
    :param role: ``entry`` or ``agent``.
    :ivar config: configuration in force; ``None`` until one was applied.
    :ivar body: encoded document of ``config``, as it is in the store.
    :ivar revision: applied revision; it never decreases.
    :ivar applied_at: monotonic time at which ``revision`` was applied, in
        seconds.
    :ivar ignored: number of documents older than the applied revision.
    :ivar refused: number of invalid documents.
    """

    __slots__ = (
        '_agents',
        '_fetcher',
        '_instance',
        '_notices',
        '_refused_revision',
        '_role',
        'applied_at',
        'body',
        'config',
        'ignored',
        'refused',
        'revision',
    )

    def __init__(self, instance: str, role: str) -> None:
        self.config: configs.Config | None = None
        self.body = b''
        self.revision = 0
        self.applied_at: float | None = None
        self.ignored = 0
        self.refused = 0
        self._instance = instance
        self._role = role
        self._agents: tuple[str, ...] = ()
        self._notices: dict[str, _Notice] = {}
        self._fetcher = fetcher.Fetcher()
        self._refused_revision = 0

    def set_neighbours(
        self, now: float, names: Iterable[str]
    ) -> list[effects.Effect]:
        """Replace the neighbours, the entries that are notified of revisions.

        :param now: monotonic time in seconds.
        :param names: live entries of the data centre; if this entry is the
            only one there, the live entries of the region.
        """
        other_entries = set(names) - {self._instance}
        self._fetcher.neighbours = tuple(sorted(other_entries))
        return self._fetch_if_due(now)

    def set_agents(self, names: Collection[str]) -> None:
        """Replace the agents that report to this entry and get its notices."""
        removed_agents = set(self._agents).difference(names)
        self._agents = tuple(names)
        for name in removed_agents:
            self.forget_peer(name)

    def forget_peer(self, instance: str) -> None:
        """Discard the reported revision of a dead process and its notice."""
        self._fetcher.remove_peer(instance)
        self._notices.pop(instance, None)

    def handle_store_value(
        self, now: float, revision: int, body: bytes
    ) -> list[effects.Effect]:
        """Handle a value of the configuration key that was read or watched.

        :param now: monotonic time in seconds.
        :param revision: ``mod_revision`` of the key; 0 when it is absent.
        :param body: value of the key.
        """
        return self._apply_document(now, revision, body, 'the store')

    def handle_peer_revision(
        self, now: float, instance: str, revision: int
    ) -> list[effects.Effect]:
        """Handle the configuration revision that another process has applied.

        :param now: monotonic time in seconds.
        :param instance: instance id of the other process.
        :param revision: revision in its heartbeat or notice.
        """
        if revision >= self.revision:
            self._notices.pop(instance, None)
        if not self._is_entry():
            return self._apply_revision(now, instance, revision)
        if instance not in self._agents:
            self._record_revision(instance, revision)
        return self._fetch_if_due(now)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message on configuration; other messages are ignored.

        :param now: monotonic time in seconds.
        :param sender: instance id of the sender.
        """
        match message:
            case messages.RevisionNotice(revision=revision):
                if self._is_entry():
                    if 0 < self.revision >= revision:
                        self._fetcher.end_request(sender)
                    return self.handle_peer_revision(now, sender, revision)
                # An entry repeats its notice until the agent confirms the
                # revision.
                return [
                    *self.handle_peer_revision(now, sender, revision),
                    self._make_notice(sender),
                ]
            case messages.FetchConfig(revision=revision):
                return self._answer_fetch(sender, revision)
            case messages.ConfigBody(revision=revision, body=body):
                return self._receive_document(now, sender, revision, body)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat notices that are unconfirmed and fetches without an answer.

        :param now: monotonic time in seconds.
        """
        outputs = self._repeat_notices(now)
        return outputs + self._fetch_if_due(now)

    def _is_entry(self) -> bool:
        return self._role == 'entry'

    def _apply_document(
        self, now: float, revision: int, body: bytes, source: str
    ) -> list[effects.Effect]:
        if revision < self.revision:
            self.ignored += 1
            LOG.warning(
                'ignored configuration revision %d from %s: revision %d is '
                'already applied',
                revision,
                source,
                self.revision,
            )
            return []
        if revision == self.revision and body not in (b'', self.body):
            LOG.error(
                'configuration revision %d from %s differs from the applied '
                'document of this revision; the store may have been restored '
                'from a backup',
                revision,
                source,
            )
        if revision in (self.revision, self._refused_revision):
            return []
        try:
            config = configs.parse_config(body)
            problems = feasibility.check_references(config)
            if problems:
                raise errors.ConfigError(problems)
        except errors.ConfigError as error:
            self.refused += 1
            self._refused_revision = max(self._refused_revision, revision)
            LOG.error(
                'refused invalid configuration revision %d from %s, revision '
                '%d stays in force: %s',
                revision,
                source,
                self.revision,
                error,
            )
            return [
                self._make_record('refused', f'revision {revision}: {error}'),
            ]
        self.config = config
        self.body = body
        return [
            *self._apply_revision(now, source, revision),
            *self._send_notices(now),
        ]

    def _apply_revision(
        self, now: float, source: str, revision: int
    ) -> list[effects.Effect]:
        if revision <= self.revision:
            return []
        LOG.info('applied configuration revision %d from %s', revision, source)
        self.revision = revision
        self.applied_at = now
        return [
            self._make_record('applied', f'revision {revision} from {source}')
        ]

    def _receive_document(
        self, now: float, sender: str, revision: int, body: bytes
    ) -> list[effects.Effect]:
        if not self._is_entry():
            return self._apply_revision(now, sender, revision)
        self._record_revision(sender, revision)
        previous_revision = self.revision
        outputs = self._apply_document(now, revision, body, sender)
        if self.revision > previous_revision:
            self._fetcher.end_request(sender)
            # Confirm to the sender that this entry has applied its document.
            outputs.append(self._make_notice(sender))
        return [*outputs, *self._fetch_if_due(now)]

    def _make_record(self, event: str, detail: str) -> effects.Record:
        return effects.Record(HISTORY_SUBJECT, event, detail)

    def _send_notices(self, now: float) -> list[effects.Effect]:
        self._notices.clear()
        outputs: list[effects.Effect] = []
        for name in (*self._fetcher.neighbours, *self._agents):
            if self._fetcher.get_revision(name) >= self.revision:
                continue
            self._notices[name] = _Notice(0, now + NOTICE_INTERVALS_S[0])
            outputs.append(self._make_notice(name))
        return outputs

    def _repeat_notices(self, now: float) -> list[effects.Effect]:
        outputs: list[effects.Effect] = []
        for name, notice in list(self._notices.items()):
            if now < notice.due:
                continue
            outputs.append(self._make_notice(name))
            notice.repeats = min(
                notice.repeats + 1, len(NOTICE_INTERVALS_S) - 1
            )
            notice.due = now + NOTICE_INTERVALS_S[notice.repeats]
        return outputs

    def _answer_fetch(
        self, sender: str, revision: int
    ) -> list[effects.Effect]:
        if not self._is_entry():
            # Revision 0 tells the requester that agents hold no documents.
            return [effects.Send(sender, messages.RevisionNotice(0))]
        self._record_revision(sender, revision)
        if self.config is None or revision >= self.revision:
            # This entry has no newer document than the requester; a revision
            # notice ends the requester's fetch.
            return [self._make_notice(sender)]
        answer = messages.ConfigBody(self.revision, self.body)
        return [effects.Send(sender, answer)]

    def _make_notice(self, name: str) -> effects.Send:
        return effects.Send(name, messages.RevisionNotice(self.revision))

    def _record_revision(self, name: str, revision: int) -> None:
        self._fetcher.record_revision(
            name, revision, self._get_handled_revision()
        )

    def _get_handled_revision(self) -> int:
        return max(self.revision, self._refused_revision)

    def _fetch_if_due(self, now: float) -> list[effects.Effect]:
        """Request a newer document from a peer if a request is due."""
        if not self._is_entry():
            return []
        # A process that starts in a store outage has no configuration and may
        # ask neighbours before a heartbeat shows which of them has one.
        ask_any = self.revision == 0
        source = self._fetcher.choose_source(
            now, self._get_handled_revision(), ask_any
        )
        if source is None:
            return []
        return [effects.Send(source, messages.FetchConfig(self.revision))]


def is_watcher(instance: str, live_entries: Iterable[str]) -> bool:
    """Return whether an entry watches the store for its data centre.

    The entry with the smallest instance id does.

    :param live_entries: live entries of the data centre.
    """
    return instance == min((*live_entries, instance))
