"""Command line."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
from typing import Any
from typing import TYPE_CHECKING
import uuid

import fire
import msgspec

from damaskpin import errors
from damaskpin import settings
from damaskpin.caller import client as clients
from damaskpin.model import config as configs
from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Mapping

# As in ``damaskpin.caller.headers``, whose imports a command does without.
MAX_DEADLINE_S = 24 * 3600.0

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

_CHANGE_EXITS = {
    'accepted': EXIT_OK,
    'rejected': EXIT_REJECTED,
    'superseded': EXIT_SUPERSEDED,
    'unknown': EXIT_UNKNOWN,
}


class ConfigCommands:
    """Check, compare, apply and show configurations.

    Exit codes: 0 accepted, 7 rejected, 8 superseded by another change,
    9 unknown (settle it with the printed token).
    """

    def check(self, file: str) -> None:
        """Check a configuration file without proposing it.

        :param file: JSON document, as an operators' program prints it.
        """
        from damaskpin.operator import feasibility

        config = _read_config(file)
        problems = feasibility.check_config(config)
        if problems:
            raise errors.ConfigError(problems)
        _print({'state': 'valid', 'accounts': len(config.accounts)})

    def diff(self, file: str, json: bool = False, **flags: Any) -> None:
        """Show what a file would change in the configuration in force.

        :param file: JSON document.
        :param json: print the changes as JSON.
        """
        from damaskpin.operator import diff

        new = _read_config(file)
        current = configs.parse_config(_fetch('GET', '/v1/config', flags).body)
        changes = diff.compare_configs(current, new)
        if json:
            _print(diff.to_document(changes))
            return
        print(diff.format_changes(changes))

    def show(self, **flags: Any) -> None:
        """Print the configuration in force."""
        sys.stdout.write(_fetch('GET', '/v1/config', flags).body.decode())

    def status(self, **flags: Any) -> None:
        """Print the revision that each known process has applied."""
        _print(_fetch('GET', '/v1/config/status', flags).read_json())

    def apply(
        self, file: str, revision: int | None = None, **flags: Any
    ) -> None:
        """Propose a configuration by compare-and-swap.

        :param file: JSON document.
        :param revision: revision that the change is based on; the one in
            force when it is left out.
        """
        body = configs.format_config(_read_config(file))
        if revision is None:
            shown = _fetch('GET', '/v1/config/status', flags).read_json()
            revision = shown['applied']
        token = str(uuid.uuid4())
        headers = {
            'If-Match': f'"{revision}"',
            'Damaskpin-Change-Token': token,
        }
        try:
            response = _fetch('PUT', '/v1/config', flags, body, headers)
        except errors.PeerTimeoutError as error:
            _print({'state': 'unknown', 'token': token, 'reason': str(error)})
            sys.exit(EXIT_UNKNOWN)
        _finish_change(response)

    def settle(self, token: str, **flags: Any) -> None:
        """Learn the outcome of a change whose answer was lost.

        :param token: token that ``apply`` printed.
        """
        _finish_change(_fetch('GET', f'/v1/config/changes/{token}', flags))


class Commands:
    """Scheduler for multi-accelerator jobs under client account guarantees.

    Exit codes: 0 success, 1 internal error, 2 wrong usage or setting,
    3 refused, 4 not run, 5 may have run, 6 no entry reached, 7 to 9 see
    ``config``.
    """

    def __init__(self) -> None:
        self.config = ConfigCommands()

    def entry(self, **flags: Any) -> None:
        """Run an entry; ``damaskpin settings entry`` lists the settings."""
        from damaskpin.daemon import entry

        entry.run(settings.load_settings(settings.EntrySettings, flags))

    def agent(self, **flags: Any) -> None:
        """Run an agent; ``damaskpin settings agent`` lists the settings."""
        from damaskpin.daemon import agent

        agent.run(settings.load_settings(settings.AgentSettings, flags))

    def settings(self, role: str) -> None:
        """List flags, variables and ranges of a role.

        :param role: ``entry``, ``agent`` or ``client``.
        """
        declarations = {
            'entry': settings.EntrySettings,
            'agent': settings.AgentSettings,
            'client': settings.ClientSettings,
        }
        if role not in declarations:
            raise errors.SettingsError(
                f'role {role!r} is not one of {", ".join(declarations)}'
            )
        print(settings.describe_settings(declarations[role]))

    def request(
        self,
        service: str,
        body: str = '',
        idempotent: bool = True,
        key: str = '',
        deadline: float = 30.0,
        priority: str = 'normal',
        **flags: Any,
    ) -> None:
        """Run a request to a service and print the answer.

        :param service: name of the announced service.
        :param body: content of the request.
        :param idempotent: whether a second run does no harm.
        :param key: idempotency key.
        :param deadline: seconds to wait.
        :param priority: urgent, high, normal or low.
        """
        _parse_priority(priority)
        repeatable = _parse_flag('idempotent', idempotent)
        seconds = _parse_deadline(deadline)

        async def call(client: clients.Client) -> clients.Response:
            return await client.run(
                str(service),
                str(body).encode(),
                idempotent=repeatable,
                key=str(key),
                deadline=seconds,
                priority=priority,
            )

        response = _call(flags, call)
        _exit_on_verdict(response)
        sys.stdout.write(response.body.decode(errors='replace') + '\n')

    def submit(
        self,
        accelerators: int,
        *command: str,
        adjacency: str = 'worker',
        run_seconds: float = 3600.0,
        priority: str = 'normal',
        deadline: float | None = None,
        idempotent: bool = True,
        shape: str | None = None,
        key: str = '',
        wait: bool = False,
        **flags: Any,
    ) -> None:
        """Submit a job.

        :param accelerators: size of the gang, one task on each accelerator.
        :param command: arguments handed to each task.
        :param adjacency: worker, rack, data_centre or region.
        :param run_seconds: declared run time in seconds.
        :param priority: urgent, high, normal or low.
        :param deadline: seconds that it may wait.
        :param idempotent: whether it may be started again after a failure.
        :param shape: guaranteed shape to draw on.
        :param key: idempotency key.
        :param wait: wait for the end (attached) instead of detaching.
        """
        spec = _make_spec(
            {
                'accelerators': accelerators,
                'adjacency': adjacency,
                'run_seconds': run_seconds,
                'priority': _parse_priority(priority),
                'deadline_seconds': deadline,
                'idempotent': _parse_flag('idempotent', idempotent),
                'shape': shape,
                'command': [str(part) for part in command],
            }
        )
        attached = _parse_flag('wait', wait)

        async def call(client: clients.Client) -> clients.Response:
            return await client.submit(
                spec, detached=not attached, key=str(key)
            )

        response = _call(flags, call)
        _exit_on_verdict(response)
        _print(response.read_json())

    def status(self, job: str = '', **flags: Any) -> None:
        """Print the state of one job, or of all jobs of the account.

        :param job: job id; empty for all.
        """
        path = f'/v1/jobs/{job}' if job else '/v1/jobs'
        _print(_fetch('GET', path, flags).read_json())

    def cancel(self, *ids: str, **flags: Any) -> None:
        """Cancel jobs.

        :param ids: job ids.
        """
        for job in ids:
            _print(_fetch('DELETE', f'/v1/jobs/{job}', flags).read_json())

    def explain(self, work: str, json: bool = False, **flags: Any) -> None:
        """Print what was decided about a request or job, when and why.

        :param work: request id or job id.
        :param json: print JSON instead of lines.
        """
        document = _fetch('GET', f'/v1/explain/{work}', flags).read_json()
        if json:
            _print(document)
            return
        for line in document['history']:
            print(
                f'{line["time"]}  {line["process"]}  {line["event"]}: '
                f'{line["detail"]}'
            )

    def drain(self, url: str, **flags: Any) -> None:
        """Let a process finish its work and take no more.

        :param url: HTTP URL of the entry or agent.
        """
        flags['entries'] = url
        _print(_fetch('POST', '/v1/drain', flags, b'').read_json())

    def report(self, format: str = 'text', **flags: Any) -> None:
        """Print the report on service-level burn.

        :param format: text, json or html.
        """
        response = _fetch('GET', f'/v1/report?format={format}', flags)
        sys.stdout.write(response.body.decode())


def main() -> None:
    """Run the command line and exit with a stable code."""
    try:
        fire.Fire(Commands, name='damaskpin')
    except errors.ConfigError as error:
        for problem in error.problems:
            print(f'damaskpin: {problem}', file=sys.stderr)
        sys.exit(EXIT_REJECTED)
    except errors.SettingsError as error:
        _fail(str(error), EXIT_USAGE)
    except errors.RequestError as error:
        _fail(f'{error.title}: {error.detail}', EXIT_REFUSED)
    except errors.PeerTimeoutError as error:
        _fail(f'may have run: {error}', EXIT_MAY_HAVE_RUN)
    except errors.PeerUnreachableError as error:
        _fail(str(error), EXIT_UNREACHABLE)
    except errors.DamaskpinError as error:
        _fail(str(error), EXIT_FAILED)


def _fail(text: str, code: int) -> None:
    print(f'damaskpin: {text}', file=sys.stderr)
    sys.exit(code)


def _call(flags: Mapping[str, Any], call: Any) -> clients.Response:
    loaded = settings.load_settings(settings.ClientSettings, flags)

    async def run() -> clients.Response:
        client = clients.Client(
            loaded.entries, loaded.token.get_secret_value()
        )
        try:
            return await call(client)
        finally:
            client.close()

    return _run(run())


def _run(work: Coroutine[Any, Any, clients.Response]) -> clients.Response:
    return asyncio.run(work)


def _fetch(
    method: str,
    path: str,
    flags: Mapping[str, Any],
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> clients.Response:
    async def call(client: clients.Client) -> clients.Response:
        return await client.fetch(method, path, body, headers)

    response = _call(flags, call)
    _exit_on_verdict(response)
    return response


def _exit_on_verdict(response: clients.Response) -> None:
    if response.verdict == 'may-have-run':
        _fail(_read_detail(response), EXIT_MAY_HAVE_RUN)
    if response.verdict == 'not-run' and response.status in (409, 503):
        _fail(_read_detail(response), EXIT_NOT_RUN)
    if response.status < 400 or response.verdict == 'ran':
        return
    if 'state' in _read_document(response):
        return
    _fail(_read_detail(response), EXIT_REFUSED)


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


def _finish_change(response: clients.Response) -> None:
    document = response.read_json()
    _print(document)
    sys.exit(_CHANGE_EXITS.get(document.get('state'), EXIT_FAILED))


def _read_config(file: str) -> configs.Config:
    try:
        body = (
            sys.stdin.buffer.read()
            if file == '-'
            else pathlib.Path(file).read_bytes()
        )
    except OSError as error:
        raise errors.SettingsError(f'{file}: {error.strerror}') from error
    return configs.parse_config(body)


def _make_spec(fields: dict[str, Any]) -> jobs.JobSpec:
    try:
        return msgspec.convert(fields, jobs.JobSpec, strict=False)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(str(error)) from error


def _parse_priority(value: Any) -> int:
    # fire turns values that look like numbers into numbers.
    text = str(value)
    try:
        return jobs.Priority[text.upper()].value
    except KeyError:
        allowed = ', '.join(item.name.lower() for item in jobs.Priority)
        raise errors.SettingsError(
            f'priority {text!r} is not one of {allowed}'
        ) from None


def _parse_flag(name: str, value: Any) -> bool:
    # fire leaves "false" as text, which would count as true.
    match str(value).lower():
        case 'true':
            return True
        case 'false':
            return False
    raise errors.SettingsError(
        f'--{name} (no variable): {value!r} is not one of true, false'
    )


def _parse_deadline(value: Any) -> float:
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        seconds = -1.0
    # The comparison is also false for not-a-number.
    if 0 < seconds <= MAX_DEADLINE_S:
        return seconds
    raise errors.SettingsError(
        f'--deadline (no variable): {value!r} is not above 0 and at most '
        f'{MAX_DEADLINE_S:g} s'
    )


def _print(document: Any) -> None:
    print(json.dumps(document, sort_keys=True))
