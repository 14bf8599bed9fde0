"""Fencing tokens of the calls that an agent makes to its worker.

A worker does nothing for a call whose token is lower than the highest that it
has seen. A call without an answer may be carried out seconds later, also by
the next process of the worker, if that has kept its id. The token therefore
rises after each such call: the next call that any process of the worker
receives voids it.
"""

from __future__ import annotations

# Bits of a token below the fencing token of the coordinator. They keep 37 bits
# for that one in a signed number of 64 bits.
SESSION_BITS = 10
EPOCH_BITS = 16

MAX_SESSION = (1 << SESSION_BITS) - 1
MAX_EPOCH = (1 << EPOCH_BITS) - 1


class CallToken:
    """Token of the next call to the worker.

    :ivar fence: fencing token of the coordinator; 0 before its first orders.
    :ivar session: number that the coordinator has given to this process of
        the agent; later processes have higher numbers.
    :ivar epoch: number of times that the token has risen in this session.
    """

    __slots__ = ('_former', 'epoch', 'fence', 'session')

    def __init__(self) -> None:
        self.fence = 0
        self.session = 0
        self.epoch = 0
        # Highest token of a call to a former process of the worker.
        self._former = 0

    @property
    def value(self) -> int:
        """Return the number that calls carry."""
        fence_and_session = (self.fence << SESSION_BITS) | self.session
        return (fence_and_session << EPOCH_BITS) | self.epoch

    def set_session(self, fence: int, session: int) -> None:
        """Set the coordinator and the session that it has given.

        Sessions beyond ``MAX_SESSION`` share the last number.
        """
        session = min(session, MAX_SESSION)
        if (fence, session) == (self.fence, self.session):
            return
        self.fence = fence
        self.session = session
        self.epoch = 0

    def outrank(self, token: int) -> bool:
        """Raise the token above that of an earlier call.

        :param token: token of the call that may still be carried out.
        :returns: whether the token has just reached its last value in this
            session.
        """
        if token != self.value or self.epoch >= MAX_EPOCH:
            return False
        self.epoch += 1
        return self.epoch == MAX_EPOCH

    def outrank_former_process(self) -> None:
        """Raise the token above all calls to the process that has ended."""
        self._former = self.value
        self.outrank(self.value)

    def voids_former_calls(self, token: int) -> bool:
        """Return whether a call voids all calls to former processes.

        It has a higher token than they, also those of former processes of the
        agent, if its session has a number of its own.

        :param token: token of a call that the worker has answered.
        """
        session = (token >> EPOCH_BITS) & MAX_SESSION
        return token > self._former and 0 < session < MAX_SESSION

    def catch_up(self, token: int) -> None:
        """Raise the token after a refusal, where a former process was higher.

        Only sessions with numbers of their own are certainly above those of
        former processes.

        :param token: token of the refused call.
        """
        if token != self.value or 0 < self.session < MAX_SESSION:
            return
        self.epoch = min(2 * self.epoch + 1, MAX_EPOCH)
