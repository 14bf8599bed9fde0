"""HTTP requests, output and exit codes of the command line."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any
from typing import TYPE_CHECKING

from damaskpin import settings
from damaskpin.caller import client as clients

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Mapping

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_NOT_RUN = 4
EXIT_MAY_HAVE_RUN = 5
EXIT_UNREACHABLE = 6
EXIT_REJECTED = 7
EXIT_SUPERSEDED = 8
EXIT_UNKNOWN = 9


def fail(text: str, code: int) -> None:
    """Print an error message and exit with a code."""
    print(f'damaskpin: {text}', file=sys.stderr)
    sys.exit(code)


def run_with_client(
    flags: Mapping[str, Any], operation: Any
) -> clients.Response:
    """Create a client from the settings and run an operation with it.

    :param flags: client settings of the command line, by name.
    :param operation: coroutine function that takes the client.
    """
    client_settings = settings.load_settings(settings.ClientSettings, flags)

    async def run() -> clients.Response:
        client = clients.Client(
            client_settings.entries, client_settings.token.get_secret_value()
        )
        try:
            return await operation(client)
        finally:
            client.close()

    return _run_coroutine(run())


def _run_coroutine(
    coroutine: Coroutine[Any, Any, clients.Response],
) -> clients.Response:
    return asyncio.run(coroutine)


def fetch(
    method: str,
    path: str,
    flags: Mapping[str, Any],
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> clients.Response:
    """Send an HTTP request and return its response; exit on failure."""

    async def send(client: clients.Client) -> clients.Response:
        return await client.fetch(method, path, body, headers)

    response = run_with_client(flags, send)
    exit_on_verdict(response)
    return response


def exit_on_verdict(response: clients.Response) -> None:
    """Exit with the code for the verdict unless the response succeeded."""
    if response.verdict == 'may-have-run':
        fail(_read_detail(response), EXIT_MAY_HAVE_RUN)
    if response.verdict == 'not-run' and response.status in (409, 503):
        fail(_read_detail(response), EXIT_NOT_RUN)
    if response.status < 400 or response.verdict == 'ran':
        return
    if 'state' in _read_document(response):
        return
    fail(_read_detail(response), EXIT_REFUSED)


def _read_document(response: clients.Response) -> dict[str, Any]:
    try:
        document = response.read_json()
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _read_detail(response: clients.Response) -> str:
    document = _read_document(response)
    text = f'{document.get("title", response.status)}'
    if document.get('detail'):
        text += f': {document["detail"]}'
    if response.retry_after is not None:
        text += f' (retry after {response.retry_after:g} s)'
    return text


def print_document(document: Any) -> None:
    """Print a document as one line of JSON."""
    print(json.dumps(document, sort_keys=True))
