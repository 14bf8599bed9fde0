"""Verdicts: whether a request or job ran, may have run or did not run."""

from __future__ import annotations

import msgspec


class Answer(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """The complete answer of a target or of a job.

    :ivar status: HTTP status code that the target returned.
    :ivar body: content of the answer.
    :ivar content_type: media type of the body.
    """

    status: int
    body: bytes = b''
    content_type: str = 'application/octet-stream'


class NotRun(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Verdict that the work did not run and can no longer start.

    :ivar reason: explanation for the caller.
    :ivar retry_after: seconds after which a retry may succeed, or ``None``.
    """

    reason: str
    retry_after: float | None = None


class MayHaveRun(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Verdict that the work may have run; its result is unknown.

    :ivar reason: explanation for the caller.
    """

    reason: str


class Ran(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Verdict that the work ran to completion.

    :ivar answer: the complete answer.
    """

    answer: Answer


Verdict = NotRun | MayHaveRun | Ran


def format_verdict(verdict: Verdict) -> str:
    """Return the value of the ``Damaskpin-Verdict`` header.

    :param verdict: verdict to name.
    :returns: ``not-run``, ``may-have-run`` or ``ran``.
    """
    match verdict:
        case NotRun():
            return 'not-run'
        case MayHaveRun():
            return 'may-have-run'
        case Ran():
            return 'ran'
