"""Faults of single kinds of calls and messages in the simulation."""

from __future__ import annotations

import collections
import enum

from damaskpin.agent import calls
from damaskpin.peer import orders

# Shares of calls or messages of a kind that are late or lost.
RATES = (0.0, 0.2, 0.6)
# Longest delay of a message in seconds.
MAX_MESSAGE_DELAY_S = 12.0
# Longest delay of a write to the store in seconds.
MAX_WRITE_DELAY_S = 3.0

KINDS_BY_TYPE = {
    calls.StartCall: 'start calls',
    calls.StopCall: 'stop calls',
    calls.PollCall: 'polls',
    orders.Report: 'reports',
    orders.Orders: 'orders',
}
STORE_WRITES = 'store writes'
KINDS = (*KINDS_BY_TYPE.values(), STORE_WRITES)

LATE_FAULTS = {f'late {kind}': kind for kind in KINDS}
LOSS_FAULTS = {f'lost {kind}': kind for kind in KINDS}


class Loss(enum.Enum):
    """Part of an exchange that is lost."""

    REQUEST = 'request'
    ANSWER = 'answer'


class Disturbances:
    """Draws which calls and messages of single kinds are late or lost.

    Without rates of a kind nothing is drawn for it, so that plays without
    these faults stay as they are.

    :param simulation: simulation that holds the rate of delays of all kinds
        and the random source.
    :ivar counts: number of late or lost calls and messages by fault.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._delay_rates = {}
        self._loss_rates = {}
        self.counts = collections.Counter()

    def clear(self):
        """End all disturbances."""
        self._delay_rates.clear()
        self._loss_rates.clear()

    def set_rate(self, fault, rate):
        """Set the share of calls or messages that a fault concerns."""
        if fault in LATE_FAULTS:
            self._delay_rates[LATE_FAULTS[fault]] = rate
        else:
            self._loss_rates[LOSS_FAULTS[fault]] = rate

    def is_late(self, message):
        """Draw whether a call or message is late, for any reason."""
        kind = get_kind(message)
        rate = self._delay_rates.get(kind, 0.0)
        rate = max(self._simulation.delay_rate, rate)
        is_late = self._simulation.random.random() < rate
        self.counts[f'late {kind}'] += is_late
        return is_late

    def has_disturbed(self, fault):
        """Return whether a fault, if it is one of these, has had an effect."""
        is_known = fault in LATE_FAULTS or fault in LOSS_FAULTS
        return self.counts[fault] > 0 or not is_known

    def is_kind_delayed(self, message):
        """Return whether delays of the message's own kind are set."""
        return bool(self._delay_rates.get(get_kind(message)))

    def draw_loss(self, message):
        """Draw which part of an exchange of a disturbed kind is lost.

        :returns: ``None`` for no loss.
        """
        rng = self._simulation.random
        kind = get_kind(message)
        rate = self._loss_rates.get(kind)
        if not rate or rng.random() >= rate:
            return None
        self.counts[f'lost {kind}'] += 1
        return rng.choice((Loss.REQUEST, Loss.ANSWER))

    def draw_write_delay(self):
        """Draw the delay in seconds of a write; 0 for none."""
        rng = self._simulation.random
        rate = self._delay_rates.get(STORE_WRITES)
        if not rate or rng.random() >= rate:
            return 0.0
        self.counts[f'late {STORE_WRITES}'] += 1
        return rng.uniform(0.2, MAX_WRITE_DELAY_S)


def get_kind(message):
    """Return the kind of a call or message; a name of a kind is its own."""
    if isinstance(message, str):
        return message
    return KINDS_BY_TYPE.get(type(message))
