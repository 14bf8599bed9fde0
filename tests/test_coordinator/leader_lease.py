"""Simulated lease of the coordinator in the store, and outages of the store.

Without a call of :meth:`LeaderLease.begin` there is neither of them, and a
coordinator leads until a test replaces it.
"""

from __future__ import annotations

import collections
import enum
import math
import random

from damaskpin.entry import leader_term
from damaskpin.runtime import leadership
from damaskpin.store import layout
from damaskpin.store import transactions

# Seconds from the end of the leader key, as other entries see it, to the
# election of the next coordinator.
USUAL_CAMPAIGN_S = (0.05, 0.2)
# Seconds from an election to the answer of the former coordinator.
HANDOVER_DELAY_S = (0.0, 0.3)

ADDRESS = 'tcp://a'


class Successor(enum.Enum):
    """What the entry that is elected next knows of the former term.

    - ``INFORMED``: it has seen the end of the leader key.
    - ``RESTARTED``: it has just started and finds only the record of the term.
    - ``WITHOUT_RECORD``: the former leader has written no record of its term.
    """

    INFORMED = 'informed'
    RESTARTED = 'restarted'
    WITHOUT_RECORD = 'without record'


class LeaderLease:
    """Renews the coordinator's lease and elects the next coordinator.

    The time of the last grant of a former coordinator is derived by
    :mod:`damaskpin.entry.leader_term`, from the changes that an entry sees.

    :param simulation: simulation with the coordinator.
    :ivar last_former_grant: latest time in seconds from which a grant of a
        former coordinator counts, as the next one is told; ``None`` if that
        is not known.
    :ivar renewed: time in seconds of the latest confirmed renewal.
    :ivar store_end: time in seconds at which the lease ends in the store.
    :ivar pauses_in_outages: whether leases do not run down in an outage of
        the store; they expire otherwise.
    :ivar lost_answer_rate: share of renewals whose answer is lost.
    :ivar successor: what the next entry that is elected knows.
    :ivar campaign_s: shortest and longest time of a campaign in seconds.
    :ivar counts: number of elections, by what the entry knew, and of those
        that knew the latest grant of a former coordinator.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._random = random.Random(1)
        self._is_active = False
        # Whether the coordinator leads no more, and whether its process can
        # still tell its last grants.
        self._is_lost = False
        self._is_alive = True
        self._is_campaign_due = False
        self._store_returns = -math.inf
        self._revision = 0
        self._view = leader_term.LeaderTerm()
        self.last_former_grant = None
        self.renewed = math.inf
        self.store_end = math.inf
        self.pauses_in_outages = False
        self.lost_answer_rate = 0.0
        self.successor = Successor.INFORMED
        self.campaign_s = USUAL_CAMPAIGN_S
        self.counts = collections.Counter()

    def begin(self):
        """Let the present coordinator have a lease from now on."""
        self._is_active = True
        self._begin_term(self._simulation.now)

    def is_leader(self):
        """Return whether the coordinator's own lease is valid."""
        if not self._is_active:
            return True
        expiry = self.renewed + leadership.LEASE_TTL_S
        return not self._is_lost and self._simulation.now < expiry

    def is_store_away(self):
        """Return whether the store answers no calls."""
        return self._simulation.now < self._store_returns

    def lose_coordinator(self):
        """Lose the coordinator, whose lease runs on until it expires."""
        self._is_lost = True
        self._is_alive = False

    def resign(self):
        """Let the coordinator end its lease, unless the store is away."""
        if not self.is_leader():
            return
        self._is_lost = True
        self._is_alive = False
        if self.is_store_away():
            return
        self._write_record(is_resigned=True)
        self.store_end = self._simulation.now
        self._schedule_end()

    def begin_outage(self, seconds):
        """Let the store answer no calls for some seconds."""
        now = self._simulation.now
        if self.is_store_away():
            return
        self._store_returns = now + seconds
        if self.pauses_in_outages and now < self.store_end:
            self.store_end += seconds
            self._schedule_end()

    # The leader

    def _begin_term(self, opened):
        """Begin a term of the present coordinator.

        :param opened: time in seconds at which its lease was opened.
        """
        self._is_lost = False
        self._is_alive = True
        self._is_campaign_due = False
        self._nonce = f'nonce-{self._simulation.fence}'
        value = leader_term.encode_leader(ADDRESS, 'i', self._nonce)
        self._put(layout.LEADER_KEY, value)
        self._write_record(is_resigned=False)
        self.store_end = opened + leadership.LEASE_TTL_S
        self._confirm_renewal(opened)
        self._schedule_end()
        self._schedule_renewal()

    def _schedule_renewal(self):
        coordinator = self._simulation.coordinator
        self._simulation.schedule(
            leadership.RENEW_INTERVAL_S, lambda: self._renew(coordinator)
        )

    def _renew(self, coordinator):
        now = self._simulation.now
        if coordinator is not self._simulation.coordinator or self._is_lost:
            return
        if self.is_store_away():
            self._schedule_renewal()
            return
        if now >= self.store_end:
            # The store answers that the lease has ended.
            self._is_lost = True
            return
        self.store_end = now + leadership.LEASE_TTL_S
        self._schedule_end()
        if self._random.random() >= self.lost_answer_rate:
            self._confirm_renewal(now)
        self._schedule_renewal()

    def _confirm_renewal(self, now):
        self.renewed = now
        self._simulation.coordinator.lease_renewed = now

    # The other entries

    def _schedule_end(self):
        end = self.store_end
        delay = max(end - self._simulation.now, 0.0)
        self._simulation.schedule(delay, lambda: self._end(end))

    def _end(self, end):
        """Remove the leader key, unless its lease was renewed meanwhile."""
        if end != self.store_end or self._is_campaign_due:
            return
        self._is_campaign_due = True
        # The others see the end of the key once the store is back.
        self._call_store(self._see_end)

    def _see_end(self):
        self._revision += 1
        removal = transactions.Removal(layout.LEADER_KEY, self._revision)
        self._view.apply(self._simulation.now, removal)
        self._campaign()

    def _campaign(self):
        now = self._simulation.now
        self._simulation.schedule(
            self._random.uniform(*self.campaign_s),
            lambda: self._call_store(lambda: self._elect(now)),
        )

    def _elect(self, opened):
        """Elect the next coordinator.

        :param opened: time in seconds at which its lease was opened.
        """
        simulation = self._simulation
        if simulation.now >= opened + leadership.LEASE_TTL_S:
            self._campaign()
            return
        if self.successor is not Successor.INFORMED:
            self._view = leader_term.LeaderTerm()
        if self.successor is Successor.RESTARTED:
            self._view.apply(opened, self._record)
        former_term = self._view.find_former(opened)
        self.last_former_grant = former_term and former_term.last_grant
        self.counts[self.successor] += 1
        self.counts['known'] += self.last_former_grant is not None
        former = simulation.coordinator if self._is_alive else None
        simulation.replace_coordinator()
        self._begin_term(opened)
        if former is not None and former_term is not None:
            self._schedule_handover(former)

    def _schedule_handover(self, former):
        """Let a former coordinator that lives on tell its last grants."""
        coordinator = self._simulation.coordinator
        last_grants = former.list_last_grants()

        def apply():
            if coordinator is self._simulation.coordinator:
                coordinator.silence_records.apply_last_grants(last_grants)
                self.counts['told'] += 1

        self._simulation.schedule(
            self._random.uniform(*HANDOVER_DELAY_S), apply
        )

    def _call_store(self, action):
        """Call a function at once, or as soon as the store is back."""
        delay = self._store_returns - self._simulation.now
        if delay > 0:
            self._simulation.schedule(delay, lambda: self._call_store(action))
            return
        action()

    def _write_record(self, is_resigned):
        record = leader_term.TermRecord(
            self._nonce, ADDRESS, leadership.LEASE_TTL_S, is_resigned
        )
        self._record = self._put(
            layout.TERM_KEY, leader_term.encode_record(record)
        )

    def _put(self, key, value):
        """Write a key, which all entries see at once."""
        self._revision += 1
        item = transactions.StoredItem(
            key, value, self._revision, self._revision
        )
        self._view.apply(self._simulation.now, item)
        return item
