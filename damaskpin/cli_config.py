"""Commands that check, compare, apply and show configurations."""

from __future__ import annotations

import pathlib
import sys
from typing import Any
from typing import TYPE_CHECKING
import uuid

from damaskpin import cli_calls
from damaskpin import errors
from damaskpin.model import config as configs

if TYPE_CHECKING:
    from damaskpin.caller import client as clients

_CHANGE_EXITS = {
    'accepted': cli_calls.EXIT_OK,
    'rejected': cli_calls.EXIT_REJECTED,
    'superseded': cli_calls.EXIT_SUPERSEDED,
    'unknown': cli_calls.EXIT_UNKNOWN,
}


class ConfigCommands:
    """Check, compare, apply and show configurations.

    Exit codes: 0 accepted, 7 rejected, 8 superseded by another change,
    9 unknown (settle it with the printed token).
    """

    def check(self, file: str) -> None:
        """Check a configuration file without proposing it.

        :param file: configuration as JSON, as an operator's program prints it;
            ``-`` for standard input.
        """
        from damaskpin.operator import feasibility

        config = _read_config(file)
        problems = feasibility.check_config(config)
        if problems:
            raise errors.ConfigError(problems)
        cli_calls.print_document(
            {'state': 'valid', 'accounts': len(config.accounts)}
        )

    def diff(self, file: str, json: bool = False, **flags: Any) -> None:
        """Show what a file would change in the configuration in force.

        :param file: configuration as JSON; ``-`` for standard input.
        :param json: print the changes as JSON.
        """
        from damaskpin.operator import diff

        new = _read_config(file)
        current = configs.parse_config(
            cli_calls.fetch('GET', '/v1/config', flags).body
        )
        changes = diff.compare_configs(current, new)
        if json:
            cli_calls.print_document(diff.to_document(changes))
            return
        print(diff.format_changes(changes))

    def show(self, **flags: Any) -> None:
        """Print the configuration in force."""
        sys.stdout.write(
            cli_calls.fetch('GET', '/v1/config', flags).body.decode()
        )

    def status(self, **flags: Any) -> None:
        """Print the revision that each known process has applied."""
        cli_calls.print_document(
            cli_calls.fetch('GET', '/v1/config/status', flags).read_json()
        )

    def apply(
        self, file: str, revision: int | None = None, **flags: Any
    ) -> None:
        """Propose a configuration by compare-and-swap.

        :param file: configuration as JSON; ``-`` for standard input.
        :param revision: revision that the change is based on; by default the
            revision in force.
        """
        body = configs.format_config(_read_config(file))
        if revision is None:
            config_status = cli_calls.fetch(
                'GET', '/v1/config/status', flags
            ).read_json()
            revision = config_status['applied']
        token = str(uuid.uuid4())
        headers = {
            'If-Match': f'"{revision}"',
            'Damaskpin-Change-Token': token,
        }
        try:
            response = cli_calls.fetch(
                'PUT', '/v1/config', flags, body, headers
            )
        except errors.PeerTimeoutError as error:
            cli_calls.print_document(
                {'state': 'unknown', 'token': token, 'reason': str(error)}
            )
            sys.exit(cli_calls.EXIT_UNKNOWN)
        _finish_change(response)

    def settle(self, token: str, **flags: Any) -> None:
        """Print the outcome of a change whose response was lost.

        :param token: change token that ``apply`` printed.
        """
        _finish_change(
            cli_calls.fetch('GET', f'/v1/config/changes/{token}', flags)
        )


def _finish_change(response: clients.Response) -> None:
    document = response.read_json()
    cli_calls.print_document(document)
    sys.exit(_CHANGE_EXITS.get(document.get('state'), cli_calls.EXIT_FAILED))


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
