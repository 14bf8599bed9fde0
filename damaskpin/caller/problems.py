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
    """Body of an error response.

    :ivar verdict: ``not-run``, ``may-have-run`` or ``ran``; empty if the
        request starts no work.
    """

    title: str
    status: int
    detail: str = ''
    verdict: str = ''
    type: str = 'about:blank'


def write_problem(
    handler: web.RequestHandler, error: errors.RequestError, verdict: str = ''
) -> None:
    """Write a problem document as the response to a request.

    :param handler: handler of the request.
    :param error: status, title and detail of the problem.
    :param verdict: whether the work of the request ran; empty if the request
        starts no work.
    """
    problem = Problem(error.title, error.status, error.detail, verdict)
    handler.set_status(error.status, _get_reason_phrase(error.status))
    handler.set_header('Content-Type', CONTENT_TYPE)
    if error.retry_after is not None:
        handler.set_header(
            'Retry-After', str(max(1, math.ceil(error.retry_after)))
        )
    handler.finish(msgspec.json.encode(problem))


def make_verdict_error(verdict: verdicts.Verdict) -> errors.RequestError:
    """Return the error that reports work that has no result.

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
            raise ValueError(
                'verdict Ran has a result and cannot be made into an error'
            )


def _get_reason_phrase(status: int) -> str:
    return http.HTTPStatus(status).phrase
