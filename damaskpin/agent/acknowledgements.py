"""Acknowledgements of ended runs to a worker.

An acknowledgement lets the worker forget ends for good. A call without an
answer may be carried out seconds later, also by the worker's next process if
that has kept its id and no other call has reached it before. There an
acknowledgement hides ends that nobody has read, and a start executes a run
again whose end has been acknowledged.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.agent import calls

if TYPE_CHECKING:
    from damaskpin.agent import run_lists
    from damaskpin.model import work

LOG = logging.getLogger(__name__)

# Number of listed ends from which on they are acknowledged in any case, so
# that new ends do not exceed the length of a worker's list.
MAX_HELD_ENDS = 250

# Seconds since the worker's last answer after which ends are acknowledged only
# by a later poll: the worker may have been replaced since.
MAX_ANSWER_AGE_S = 0.25


class Acknowledgements:
    """Decides which ends the calls to one worker acknowledge.

    Ends are held back while a call without an answer may still be carried
    out. The process that follows one with an undecided acknowledgement under
    the same id may hide ends, until it has listed an end.

    :ivar may_hide_ends: whether the worker's process may have carried out an
        acknowledgement that was meant for its predecessor.
    """

    __slots__ = (
        '_acknowledged_until',
        '_has_listed_end',
        '_has_seen_replacement',
        '_lifetime',
        '_undecided_until',
        'may_hide_ends',
    )

    def __init__(self) -> None:
        self._lifetime: work.Lifetime | None = None
        self._undecided_until = 0.0
        self._acknowledged_until = 0.0
        self._has_seen_replacement = False
        self._has_listed_end = False
        self.may_hide_ends = False

    def start(self, now: float) -> None:
        """Hold back while calls of a former agent process may be undecided."""
        self._undecided_until = now + calls.MAX_CALL_DELAY_S
        self._acknowledged_until = self._undecided_until

    def record_undecided(
        self,
        now: float,
        call: calls.PollCall | calls.StartCall | calls.StopCall,
    ) -> None:
        """Record a call that another process may carry out, or has."""
        self._undecided_until = now + calls.MAX_CALL_DELAY_S
        if not isinstance(call, calls.PollCall) or not call.observed:
            return
        self._acknowledged_until = self._undecided_until
        current = self._lifetime
        if self._has_listed_end:
            return
        if current is not None and current != call.lifetime:
            self.may_hide_ends |= current.worker == call.lifetime.worker

    def record_process(self, now: float, lifetime: work.Lifetime) -> None:
        """Record that a process of the worker has registered."""
        former = self._lifetime
        self._lifetime = lifetime
        self._has_listed_end = False
        if former is None:
            return
        self._has_seen_replacement = True
        if lifetime.worker != former.worker:
            # The new process refuses calls to the former id.
            self._undecided_until = 0.0
            self._acknowledged_until = 0.0
            self.may_hide_ends = False
            return
        self.may_hide_ends |= now < self._acknowledged_until
        if self.may_hide_ends:
            LOG.warning(
                'worker process may hide ends of runs',
                extra={
                    'worker': lifetime.worker,
                    'born': lifetime.born,
                    'former_born': former.born,
                },
            )

    def record_restart(self) -> None:
        """Record that the process has followed another of the same id.

        If a former process of the agent has seen that, its acknowledgements
        are not known here.
        """
        if self._has_seen_replacement or self._has_listed_end:
            return
        self.may_hide_ends = True

    def record_lists(self, lists: calls.Lists) -> None:
        """Trust the process once it has listed an end.

        All later ends have higher serials, and earlier calls are void since
        the process has answered one.
        """
        if not lists.ended or self._has_listed_end:
            return
        LOG.info(
            'worker process lists its first end',
            extra={
                'born': lists.born,
                'serial': lists.ended[0].serial,
                'might_hide_ends': self.may_hide_ends,
            },
        )
        self._has_listed_end = True
        self.may_hide_ends = False

    def get_serial(
        self, now: float, last_answer: float, lists: run_lists.RunLists
    ) -> int:
        """Return the serial up to which the worker may forget ended runs.

        :param last_answer: time in seconds of the worker's last answer.
        """
        if now - last_answer > MAX_ANSWER_AGE_S:
            return 0
        if now < self._undecided_until and lists.count_ends() < MAX_HELD_ENDS:
            return 0
        return lists.get_acknowledged_serial()
