"""Control over how libcurl uses the connections that it keeps."""

from __future__ import annotations

import pycurl


class Sending:
    """Lets libcurl send a request only once.

    When a kept connection ends without an answer, libcurl sends the request
    again over another one, though the server may have carried out the first.

    :ivar has_begun: whether a connection was ready and sending has begun.
    """

    __slots__ = ('has_begun',)

    def __init__(self) -> None:
        self.has_begun = False

    def begin(self, *_addresses: str | int) -> int:
        """Begin to send the request; refuse to begin again.

        libcurl calls this each time that a connection is ready, before it
        sends any part of the request.
        """
        if self.has_begun:
            return pycurl.PREREQFUNC_ABORT
        self.has_begun = True
        return pycurl.PREREQFUNC_OK
