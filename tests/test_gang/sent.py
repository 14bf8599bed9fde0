"""Reading of effects in tests."""

from damaskpin import effects


def list_messages(out, kind):
    """Return the sent messages of one type."""
    return [message for _, message in list_sent(out, kind)]


def list_sent(out, kind):
    """Return receivers and sent messages of one type."""
    return [
        (effect.to, effect.message)
        for effect in list_effects(out, effects.Send)
        if isinstance(effect.message, kind)
    ]


def list_effects(out, kind):
    """Return the effects of one type."""
    return [effect for effect in out if isinstance(effect, kind)]


def run(machine, start, end, per_second):
    """Tick a machine over a time and return its effects."""
    out = []
    for step in range(int((end - start) * per_second)):
        out += machine.tick(start + step / per_second)
    return out
