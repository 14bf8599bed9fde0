"""Command line of damaskpin: commands, argument checks and exit codes."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import fire
import msgspec

from damaskpin import cli_calls
from damaskpin import cli_config
from damaskpin import errors
from damaskpin import settings
from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from damaskpin.caller import client as clients

# Equals the limit in ``damaskpin.caller.headers``, which is not imported to
# spare commands its further imports.
MAX_DEADLINE_S = 24 * 3600.0


class Commands:
    """Scheduler for multi-accelerator jobs under client account guarantees.

    Exit codes: 0 success, 1 internal error, 2 wrong usage or setting,
    3 refused, 4 not run, 5 may have run, 6 no entry reached, 7 to 9 see
    ``config``.
    """

    def __init__(self) -> None:
        self.config = cli_config.ConfigCommands()

    def entry(self, **flags: Any) -> None:
        """Run an entry; ``damaskpin settings entry`` lists the settings."""
        from damaskpin.daemon import entry

        entry.run(settings.load_settings(settings.EntrySettings, flags))

    def agent(self, **flags: Any) -> None:
        """Run an agent; ``damaskpin settings agent`` lists the settings."""
        from damaskpin.daemon import agent

        agent.run(settings.load_settings(settings.AgentSettings, flags))

    def settings(self, role: str) -> None:
        """List flags, environment variables and ranges of a role's settings.

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

        :param service: name of the service.
        :param body: content of the request.
        :param idempotent: whether the request may safely run twice.
        :param key: idempotency key.
        :param deadline: seconds to wait for the answer.
        :param priority: urgent, high, normal or low.
        """
        _parse_priority(priority)
        is_idempotent = _parse_bool('idempotent', idempotent)
        seconds = _parse_deadline(deadline)

        async def call(client: clients.Client) -> clients.Response:
            return await client.run(
                str(service),
                str(body).encode(),
                idempotent=is_idempotent,
                key=str(key),
                deadline=seconds,
                priority=priority,
            )

        response = cli_calls.run_with_client(flags, call)
        cli_calls.exit_on_verdict(response)
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
        """Submit a job and print its state or, with ``--wait``, its result.

        :param accelerators: size of the gang, one task on each accelerator.
        :param command: arguments handed to each task.
        :param adjacency: worker, rack, data_centre or region.
        :param run_seconds: declared run time in seconds.
        :param priority: urgent, high, normal or low.
        :param deadline: seconds that the job may wait after its submission.
        :param idempotent: whether the job may start again after a failure.
        :param shape: name of the guaranteed shape to use.
        :param key: idempotency key.
        :param wait: wait for the verdict instead of returning at once.
        """
        spec = _make_spec(
            {
                'accelerators': accelerators,
                'adjacency': adjacency,
                'run_seconds': run_seconds,
                'priority': _parse_priority(priority),
                'deadline_seconds': deadline,
                'idempotent': _parse_bool('idempotent', idempotent),
                'shape': shape,
                'command': [str(part) for part in command],
            }
        )
        attached = _parse_bool('wait', wait)

        async def call(client: clients.Client) -> clients.Response:
            return await client.submit(
                spec, detached=not attached, key=str(key)
            )

        response = cli_calls.run_with_client(flags, call)
        cli_calls.exit_on_verdict(response)
        cli_calls.print_document(response.read_json())

    def status(self, job: str = '', **flags: Any) -> None:
        """Print the state of one job, or of all jobs of the account.

        :param job: job id; empty for all.
        """
        path = f'/v1/jobs/{job}' if job else '/v1/jobs'
        cli_calls.print_document(
            cli_calls.fetch('GET', path, flags).read_json()
        )

    def cancel(self, *ids: str, **flags: Any) -> None:
        """Cancel jobs.

        :param ids: job ids.
        """
        for job in ids:
            cli_calls.print_document(
                cli_calls.fetch('DELETE', f'/v1/jobs/{job}', flags).read_json()
            )

    def explain(self, work: str, json: bool = False, **flags: Any) -> None:
        """Print the decisions about a request or job, with time and reason.

        :param work: request id or job id.
        :param json: print JSON instead of lines.
        """
        document = cli_calls.fetch(
            'GET', f'/v1/explain/{work}', flags
        ).read_json()
        if json:
            cli_calls.print_document(document)
            return
        for line in document['history']:
            print(
                f'{line["time"]}  {line["process"]}  {line["event"]}: '
                f'{line["detail"]}'
            )

    def drain(self, url: str, **flags: Any) -> None:
        """Drain an entry or agent: no new work, current work is finished.

        :param url: HTTP URL of the entry or agent.
        """
        flags['entries'] = url
        cli_calls.print_document(
            cli_calls.fetch('POST', '/v1/drain', flags, b'').read_json()
        )

    def report(self, format: str = 'text', **flags: Any) -> None:
        """Print the report on burn rates of service-level objectives.

        :param format: text, json or html.
        """
        response = cli_calls.fetch('GET', f'/v1/report?format={format}', flags)
        sys.stdout.write(response.body.decode())


def main() -> None:
    """Run the command line; exit with the code of the kind of error."""
    try:
        fire.Fire(
            Commands(),
            command=_move_help_flag(sys.argv[1:]),
            name='damaskpin',
        )
    except errors.ConfigError as error:
        for problem in error.problems:
            print(f'damaskpin: {problem}', file=sys.stderr)
        sys.exit(cli_calls.EXIT_REJECTED)
    except errors.SettingsError as error:
        cli_calls.fail(str(error), cli_calls.EXIT_USAGE)
    except errors.RequestError as error:
        cli_calls.fail(
            f'{error.title}: {error.detail}', cli_calls.EXIT_REFUSED
        )
    except errors.PeerTimeoutError as error:
        cli_calls.fail(f'may have run: {error}', cli_calls.EXIT_MAY_HAVE_RUN)
    except errors.PeerUnreachableError as error:
        cli_calls.fail(str(error), cli_calls.EXIT_UNREACHABLE)
    except errors.DamaskpinError as error:
        cli_calls.fail(str(error), cli_calls.EXIT_FAILED)


def _make_spec(fields: dict[str, Any]) -> jobs.JobSpec:
    try:
        return msgspec.convert(fields, jobs.JobSpec, strict=False)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(str(error)) from error


def _parse_priority(value: Any) -> int:
    # fire parses a priority that looks like a number as a number.
    text = str(value)
    try:
        return jobs.Priority[text.upper()].value
    except KeyError:
        allowed = ', '.join(item.name.lower() for item in jobs.Priority)
        raise errors.SettingsError(
            f'priority {text!r} is not one of {allowed}'
        ) from None


def _parse_bool(name: str, value: Any) -> bool:
    # fire passes "false" as a string, which Python would treat as true.
    match str(value).lower():
        case 'true':
            return True
        case 'false':
            return False
    raise errors.SettingsError(
        f'--{name} (flag only): {value!r} is not one of true, false'
    )


def _parse_deadline(value: Any) -> float:
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        seconds = -1.0
    # NaN is refused too, because comparisons with it are false.
    if 0 < seconds <= MAX_DEADLINE_S:
        return seconds
    raise errors.SettingsError(
        f'--deadline (flag only): {value!r} is not above 0 and at most '
        f'{MAX_DEADLINE_S:g} s'
    )


def _move_help_flag(arguments: list[str]) -> list[str]:
    # Commands accept any flag as a setting, so fire would pass "--help" to the
    # command; after the separator "--" fire handles it itself.
    if '--help' not in arguments:
        return arguments
    return [item for item in arguments if item != '--help'] + ['--', '--help']
