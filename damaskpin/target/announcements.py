"""Local HTTP interface through which targets announce themselves."""

from __future__ import annotations

import http
from typing import Annotated
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from tornado import web

from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from collections.abc import Callable

PATH = r'/v1/targets/([^/]+)'
MAX_ANNOUNCEMENT_BYTES = 16 * 1024
# A target must not receive requests for more than 3 s after it began to leave.
# With a longer ttl, a crashed target would receive them for longer.
MAX_TTL_S = 3.0
PROBLEM_CONTENT_TYPE = 'application/problem+json'


class Announcement(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Announcement of a target, which repeats it every second.

    :ivar url: URL at which the target accepts requests.
    :ivar slots: number of requests that the target serves at the same time.
    :ivar ttl: seconds after which the announcement expires.
    :ivar leaving: whether the target accepts no new requests.
    """

    url: Annotated[str, msgspec.Meta(max_length=2048)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 8
    ttl: Annotated[float, msgspec.Meta(gt=0, le=MAX_TTL_S)] = MAX_TTL_S
    leaving: bool = False


class _ServiceName(msgspec.Struct, frozen=True):
    name: jobs.Name


class TargetHandler(web.RequestHandler):
    """HTTP handler for the announcements of targets."""

    def initialize(
        self,
        on_announce: Callable[[str, Announcement], None],
        on_withdraw: Callable[[str], None],
    ) -> None:
        self._on_announce = on_announce
        self._on_withdraw = on_withdraw

    def put(self, service: str) -> None:
        """Announce the target of a service, or renew its announcement."""
        if not self._check_service(service):
            return
        if len(self.request.body) > MAX_ANNOUNCEMENT_BYTES:
            self._write_problem(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'announcement larger than {MAX_ANNOUNCEMENT_BYTES} bytes',
            )
            return
        try:
            announcement = msgspec.json.decode(
                self.request.body, type=Announcement
            )
            _check_url(announcement.url)
        except (msgspec.DecodeError, ValueError) as error:
            self._write_problem(http.HTTPStatus.BAD_REQUEST, str(error))
            return
        self._on_announce(service, announcement)
        self.set_status(http.HTTPStatus.NO_CONTENT)

    def delete(self, service: str) -> None:
        """Withdraw the target of a service; this is idempotent."""
        if not self._check_service(service):
            return
        self._on_withdraw(service)
        self.set_status(http.HTTPStatus.NO_CONTENT)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Write errors raised by tornado as problem documents."""
        self._write_problem(http.HTTPStatus(status_code), '')

    def _check_service(self, service: str) -> bool:
        try:
            msgspec.convert({'name': service}, _ServiceName)
        except msgspec.ValidationError as error:
            self._write_problem(
                http.HTTPStatus.BAD_REQUEST, f'service name: {error}'
            )
            return False
        return True

    def _write_problem(self, status: http.HTTPStatus, detail: str) -> None:
        self.set_status(status)
        self.set_header('Content-Type', PROBLEM_CONTENT_TYPE)
        self.finish(
            msgspec.json.encode(
                {
                    'type': 'about:blank',
                    'title': status.phrase,
                    'status': int(status),
                    'detail': detail,
                }
            )
        )


def make_handlers(
    on_announce: Callable[[str, Announcement], None],
    on_withdraw: Callable[[str], None],
) -> list[tuple[str, type[web.RequestHandler], dict[str, object]]]:
    """Return the routes of the agent's local HTTP server.

    :param on_announce: called with the service and a valid announcement.
    :param on_withdraw: called with the service of a withdrawn target.
    """
    arguments = {'on_announce': on_announce, 'on_withdraw': on_withdraw}
    return [(PATH, TargetHandler, arguments)]


def _check_url(url: str) -> None:
    parts = urllib.parse.urlsplit(url)
    if parts.scheme != 'http' or not parts.hostname:
        raise ValueError(f'url: {url!r} is not an http URL with a host')
    if parts.port == 0:
        raise ValueError(f'url: {url!r} has no usable port')
