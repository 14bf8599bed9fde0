"""Helpers that drive state machines and filter their effects."""

from damaskpin import effects


def list_messages(emitted, kind):
    """Return the messages of one type from the Send effects."""
    return [message for _, message in list_sent(emitted, kind)]


def list_sent(emitted, kind):
    """Return receiver and message of the Send effects of one message type."""
    return [
        (effect.to, effect.message)
        for effect in list_effects(emitted, effects.Send)
        if isinstance(effect.message, kind)
    ]


def list_effects(emitted, kind):
    """Return the effects of one class."""
    return [effect for effect in emitted if isinstance(effect, kind)]


def run_ticks(machine, start, end, per_second):
    """Call a state machine's ``tick`` repeatedly and return its effects.

    :param start: first time, seconds.
    :param end: end of the time range, seconds.
    :param per_second: calls a second.
    """
    emitted = []
    for step in range(int((end - start) * per_second)):
        emitted += machine.tick(start + step / per_second)
    return emitted
