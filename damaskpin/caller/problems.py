"""Problem documents (RFC 9457)."""

from __future__ import annotations

import http
import math
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin import verdict as verdicts

if TYPE_CHECKING:
    from tornado import web

CONTENT_TYPE = 'application/problem+json'


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error answer.

    :ivar verdict: ``not-run``, ``may-have-run`` or ``ran``.
    """

    title: str
    status: int
    detail: str = ''
    verdict: str = ''
    type: str = 'about:blank'


def write_problem(
    handler: web.RequestHandler, error: errors.RequestError, verdict: str = ''
) -> None:
    """Answer a request with a problem document.

    :param handler: handler of the request.
    :param error: what went wrong.
    :param verdict: verdict on the request's work, if it had any.
    """
    problem = Problem(error.title, error.status, error.detail, verdict)
    handler.set_status(error.status, _get_phrase(error.status))
    handler.set_header('Content-Type', CONTENT_TYPE)
    if error.retry_after is not None:
        handler.set_header(
            'Retry-After', str(max(1, math.ceil(error.retry_after)))
        )
    handler.finish(msgspec.json.encode(problem))


def make_error(verdict: verdicts.Verdict) -> errors.RequestError:
    """Return the error that tells a caller about work without an answer.

    :param verdict: ``NotRun`` or ``MayHaveRun``.
    """
    match verdict:
        case verdicts.NotRun(reason, retry_after):
            if retry_after is not None:
                return errors.RequestError(503, 'Not run', reason, retry_after)
            return errors.RequestError(409, 'Not run', reason)
        case verdicts.MayHaveRun(reason):
            return errors.RequestError(502, 'May have run', reason)
        case verdicts.Ran():
            raise ValueError('work that ran has an answer')


def _get_phrase(status: int) -> str:
    return http.HTTPStatus(status).phrase
