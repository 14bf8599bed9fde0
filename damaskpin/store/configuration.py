"""Configuration that a process has applied, as a state machine without I/O."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import errors
from damaskpin.model import config as configs
from damaskpin.operator import feasibility
from damaskpin.peer import messages
from damaskpin.store import fetching

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

LOG = logging.getLogger(__name__)

CONFIG_KEY = '/damaskpin/config'
# Subject of the entries in the explain history.
HISTORY_SUBJECT = 'config'

# Seconds until a notice is repeated; the last interval goes on until the peer
# confirms it or is dead. An agent may report as seldom as every 12 s, so its
# reports are too late for the 9 s of a configuration change. Six notices go
# out within 7 s: of 1,500 agents, 0.0015 on average lose all at 10% loss.
NOTICE_REPEATS_S = (1.0, 1.0, 1.0, 2.0, 2.0, 4.0)


@dataclasses.dataclass(slots=True)
class _Notice:
    """Notice to a peer that has not confirmed the revision."""

    repeats: int
    due: float


class ConfigHolder:
    """Keeps the newest configuration that this process has seen.

    An entry applies whole documents, which it takes from the store or from
    another entry, and tells its neighbours and its agents. An agent applies
    revisions only.

    :param instance: instance id of this process.
    :param role: ``entry`` or ``agent``.
    :ivar config: configuration that is in force; ``None`` before the first.
    :ivar body: document of ``config``, as it is in the store.
    :ivar revision: applied revision; it never goes down.
    :ivar applied_at: monotonic time at which it was applied, in seconds.
    :ivar ignored: answers that were older than what is applied.
    :ivar refused: documents that were not valid.
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
        self._fetcher = fetching.Fetcher()
        self._refused_revision = 0

    def set_neighbours(
        self, now: float, names: Iterable[str]
    ) -> list[effects.Effect]:
        """Replace the entries that are told of a new revision.

        :param now: monotonic time in seconds.
        :param names: live entries of the data centre; if there is no other,
            those of the region.
        """
        others = set(names) - {self._instance}
        self._fetcher.neighbours = tuple(sorted(others))
        return self._ask(now)

    def set_agents(self, names: Collection[str]) -> None:
        """Replace the agents that this entry is home of."""
        left = set(self._agents).difference(names)
        self._agents = tuple(names)
        for name in left:
            self.forget_peer(name)

    def forget_peer(self, instance: str) -> None:
        """Drop what is known of a process that is dead."""
        self._fetcher.forget(instance)
        self._notices.pop(instance, None)

    def store_answered(
        self, now: float, revision: int, body: bytes
    ) -> list[effects.Effect]:
        """Handle a reading or a watched change of the configuration's key.

        :param now: monotonic time in seconds.
        :param revision: ``mod_revision`` of the key; 0 when it is absent.
        :param body: value of the key.
        """
        return self._offer(now, revision, body, 'the store')

    def peer_revision(
        self, now: float, instance: str, revision: int
    ) -> list[effects.Effect]:
        """Handle the revision that another process says it has applied.

        :param now: monotonic time in seconds.
        :param instance: instance id of the other process.
        :param revision: revision in its heartbeat or notice.
        """
        if revision >= self.revision:
            self._notices.pop(instance, None)
        if not self._is_entry():
            return self._apply_revision(now, instance, revision)
        if instance not in self._agents:
            self._note_revision(instance, revision)
        return self._ask(now)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message; those of other parts are ignored.

        :param now: monotonic time in seconds.
        :param sender: instance id of the sender.
        """
        match message:
            case messages.RevisionNotice(revision=revision):
                if self._is_entry():
                    if 0 < self.revision >= revision:
                        self._fetcher.note_answer(sender)
                    return self.peer_revision(now, sender, revision)
                # An entry repeats its notice until the agent confirms it.
                return [
                    *self.peer_revision(now, sender, revision),
                    self._make_notice(sender),
                ]
            case messages.FetchConfig(revision=revision):
                return self._answer_fetch(sender, revision)
            case messages.ConfigBody(revision=revision, body=body):
                return self._receive_body(now, sender, revision, body)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat what was not answered in time.

        :param now: monotonic time in seconds.
        """
        produced = self._repeat_notices(now)
        return produced + self._ask(now)

    def _is_entry(self) -> bool:
        return self._role == 'entry'

    def _offer(
        self, now: float, revision: int, body: bytes, source: str
    ) -> list[effects.Effect]:
        if revision < self.revision:
            self.ignored += 1
            LOG.warning(
                'ignored configuration revision %d from %s: %d is applied',
                revision,
                source,
                self.revision,
            )
            return []
        if revision == self.revision and body not in (b'', self.body):
            LOG.error(
                'configuration revision %d from %s differs from what is '
                'applied; was the store restored?',
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
                'refused configuration revision %d from %s, %d stays in '
                'force: %s',
                revision,
                source,
                self.revision,
                error,
            )
            return [
                self._record('refused', f'revision {revision}: {error}'),
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
        return [self._record('applied', f'revision {revision} from {source}')]

    def _receive_body(
        self, now: float, sender: str, revision: int, body: bytes
    ) -> list[effects.Effect]:
        if not self._is_entry():
            return self._apply_revision(now, sender, revision)
        self._note_revision(sender, revision)
        before = self.revision
        produced = self._offer(now, revision, body, sender)
        if self.revision > before:
            self._fetcher.note_answer(sender)
            # Confirms the sender's notice.
            produced.append(self._make_notice(sender))
        return [*produced, *self._ask(now)]

    def _record(self, event: str, detail: str) -> effects.Record:
        return effects.Record(HISTORY_SUBJECT, event, detail)

    def _send_notices(self, now: float) -> list[effects.Effect]:
        self._notices.clear()
        produced: list[effects.Effect] = []
        for name in (*self._fetcher.neighbours, *self._agents):
            if self._fetcher.get_revision(name) >= self.revision:
                continue
            self._notices[name] = _Notice(0, now + NOTICE_REPEATS_S[0])
            produced.append(self._make_notice(name))
        return produced

    def _repeat_notices(self, now: float) -> list[effects.Effect]:
        produced: list[effects.Effect] = []
        for name, notice in list(self._notices.items()):
            if now < notice.due:
                continue
            produced.append(self._make_notice(name))
            notice.repeats = min(notice.repeats + 1, len(NOTICE_REPEATS_S) - 1)
            notice.due = now + NOTICE_REPEATS_S[notice.repeats]
        return produced

    def _answer_fetch(
        self, sender: str, revision: int
    ) -> list[effects.Effect]:
        if not self._is_entry():
            # Tells the sender that agents have no documents.
            return [effects.Send(sender, messages.RevisionNotice(0))]
        self._note_revision(sender, revision)
        if self.config is None or revision >= self.revision:
            # Ends the fetch at the sender without a body.
            return [self._make_notice(sender)]
        answer = messages.ConfigBody(self.revision, self.body)
        return [effects.Send(sender, answer)]

    def _make_notice(self, name: str) -> effects.Send:
        return effects.Send(name, messages.RevisionNotice(self.revision))

    def _note_revision(self, name: str, revision: int) -> None:
        self._fetcher.note_revision(name, revision, self._get_floor())

    def _get_floor(self) -> int:
        return max(self.revision, self._refused_revision)

    def _ask(self, now: float) -> list[effects.Effect]:
        """Ask a peer for a newer document if it is time to."""
        if not self._is_entry():
            return []
        # A process that starts in a store outage has no configuration and may
        # ask before the first heartbeat tells it who has one.
        blind = self.revision == 0
        source = self._fetcher.choose(now, self._get_floor(), blind)
        if source is None:
            return []
        return [effects.Send(source, messages.FetchConfig(self.revision))]


def is_watcher(instance: str, live_entries: Iterable[str]) -> bool:
    """Return whether an entry watches the store for its data centre."""
    return instance == min((*live_entries, instance))
