"""Tests of settings and exit codes of the command line."""

from __future__ import annotations

import asyncio
import os
import pathlib
import socket
import subprocess
import sys

import pytest

from damaskpin import cli
from damaskpin import cli_calls
from damaskpin import errors
from damaskpin import settings
from damaskpin.caller import client as clients
from damaskpin.model import config as configs
from tests.test_daemon import fleet as fleets

ROOT = pathlib.Path(__file__).parent.parent.parent
TIMEOUT_S = 30.0
SECRET = 'a-secret-that-no-text-shows'
VALID_SETTINGS = {
    'instance': 'entry-1',
    'region': 'gauteng',
    'data_centre': 'sandton',
    'listen': 'tcp://127.0.0.1:9000',
    'http_port': 8080,
    'fleet_key': SECRET,
    'store': 'http://127.0.0.1:2379',
}


@pytest.fixture(autouse=True)
def clean_environment(monkeypatch):
    """Remove the variables of the machine that runs the tests."""
    for name in list(os.environ):
        if name.startswith(settings.ENV_PREFIX):
            monkeypatch.delenv(name)


def run_command(
    *arguments: str, **variables: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-m', 'damaskpin', *arguments],
        cwd=ROOT,
        env={**os.environ, **variables},
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def load_entry_settings(**changes):
    return settings.load_settings(
        settings.EntrySettings, {**VALID_SETTINGS, **changes}
    )


def test_valid_settings_are_accepted():
    """Guards against the refusal of valid settings."""
    assert load_entry_settings().http_port == 8080
    assert load_entry_settings(seeds='http://a:1,http://b:2').seeds == [
        'http://a:1',
        'http://b:2',
    ]


@pytest.mark.parametrize(
    ('name', 'value', 'allowed'),
    [
        ('http_port', 70000, '0 to 65535'),
        ('http_port', -1, '0 to 65535'),
        ('http_port', 'eighty', '0 to 65535'),
        ('drain_timeout', -0.5, '0 to 3600'),
        ('drain_timeout', float('nan'), '0 to 3600'),
        ('drain_timeout', float('inf'), '0 to 3600'),
        ('max_requests', 0, '1 to 100000'),
        ('max_jobs', 10**30, '1 to 1000000'),
        ('instance', 'a b', 'text matching'),
        ('instance', '', 'text matching'),
        ('listen', 'tcp://host.example:1', 'text matching'),
        ('store', 'ftp://127.0.0.1', 'text matching'),
        ('seeds', 'http://a:1,b', 'text matching'),
        ('log_level', 'LOUD', 'text matching'),
        ('operator_token_sha256', 'abc', 'text matching'),
    ],
)
@pytest.mark.parametrize('source', ['flag', 'variable'])
def test_error_names_flag_variable_value_and_range(
    monkeypatch, source, name, value, allowed
):
    """Guards against errors without flag, variable, value and range."""
    variable = settings.ENV_PREFIX + name.upper()
    if source == 'variable':
        monkeypatch.setenv(variable, str(value))
    values = {**VALID_SETTINGS, name: value}
    if source == 'variable':
        del values[name]
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_settings(settings.EntrySettings, values)
    text = str(caught.value)
    assert '--' + name.replace('_', '-') in text
    assert variable in text
    assert str(value).rpartition(',')[2] in text
    assert allowed in text


def test_list_variable_is_split_like_its_flag(monkeypatch):
    """Guards against list variables that need another format than flags."""
    monkeypatch.setenv('DAMASKPIN_SEEDS', 'http://a:1,http://b:2')
    assert load_entry_settings().seeds == ['http://a:1', 'http://b:2']


def test_missing_setting_is_named():
    """Guards against a daemon that starts without a required setting."""
    values = {**VALID_SETTINGS}
    del values['store']
    with pytest.raises(
        errors.SettingsError, match=r'--store \(DAMASKPIN_STORE\)'
    ):
        settings.load_settings(settings.EntrySettings, values)


def test_error_shows_no_secret():
    """Guards against secrets in error messages about settings."""
    with pytest.raises(errors.SettingsError) as caught:
        load_entry_settings(fleet_key='short-secret')
    assert 'short-secret' not in str(caught.value)
    assert '--fleet-key (DAMASKPIN_FLEET_KEY)' in str(caught.value)
    assert 'at least 16 characters' in str(caught.value)


def test_unknown_flag_and_variable_are_refused(monkeypatch):
    """Guards against silently ignoring a misspelt setting."""
    monkeypatch.setenv('DAMASKPIN_HTTP_PROT', '1')
    with pytest.raises(errors.SettingsError) as caught:
        load_entry_settings(http_prot=1)
    assert 'unknown flag --http-prot' in str(caught.value)
    assert 'unknown variable DAMASKPIN_HTTP_PROT' in str(caught.value)


@pytest.mark.parametrize(
    ('arguments', 'words'),
    [
        (['entry', '--http-port', '70000'], 'DAMASKPIN_HTTP_PORT'),
        (['entry', '--colour', 'red'], 'unknown flag --colour'),
        (['status', '--colour', 'red'], 'unknown flag --colour'),
        (['submit', '0'], 'accelerators'),
        (['submit', 'many'], 'accelerators'),
        (['submit', '1', '--priority', 'royal'], 'urgent, high'),
        (['submit', '1', '--priority', '1'], 'urgent, high'),
        (['submit', '1', '--idempotent', 'maybe'], '--idempotent'),
        (['submit', '1', '--wait', 'maybe'], '--wait'),
        (['request', 'a', '--priority', '1'], 'urgent, high'),
        (['request', 'a', '--deadline', 'soon'], '--deadline'),
        (['request', 'a', '--deadline', '-1'], '--deadline'),
        (['request', 'a', '--idempotent', 'maybe'], '--idempotent'),
        (['settings', 'cook'], 'entry, agent, client'),
        (['config', 'check', 'no-such-file.json'], 'no-such-file.json'),
        (['request'], 'service'),
        (['fly'], 'fly'),
    ],
)
def test_wrong_usage_exits_with_2(arguments, words):
    """Guards against usage errors with a traceback or a wrong exit code."""
    completed = run_command(*arguments)
    assert completed.returncode == cli_calls.EXIT_USAGE, completed.stderr
    assert words in completed.stderr
    assert 'Traceback' not in completed.stderr


@pytest.mark.parametrize(
    ('text', 'expected'), [('false', False), ('False', False), ('true', True)]
)
def test_idempotent_flag_is_parsed_as_boolean(monkeypatch, text, expected):
    """Guards against reading "--idempotent false" as true."""
    sent = {}

    async def run(self, service, body, **options):
        sent.update(options)
        return clients.Response(200, b'', 'ran', 'r-1')

    monkeypatch.setattr(clients.Client, 'run', run)
    monkeypatch.setattr(
        sys,
        'argv',
        ['damaskpin', 'request', 'a', '--idempotent', text, '--key', '12'],
    )
    cli.main()
    assert sent['idempotent'] is expected
    assert sent['key'] == '12'


def test_unreachable_entry_exits_with_6():
    """Guards against reporting an unreachable entry as a refusal."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{probe.getsockname()[1]}'
        completed = run_command('status', '--entries', url)
    assert completed.returncode == cli_calls.EXIT_UNREACHABLE, completed.stderr
    assert url in completed.stderr


def test_rejected_configuration_exits_with_7(tmp_path):
    """Guards against an exit code of 0 for an invalid configuration."""
    file = tmp_path / 'config.json'
    for text in (b'{', b'{"colour": 1}', b'\xff', _make_infeasible()):
        file.write_bytes(text)
        completed = run_command('config', 'check', str(file))
        assert completed.returncode == cli_calls.EXIT_REJECTED, (
            completed.stderr
        )
        assert completed.stderr.startswith('damaskpin: ')
        assert 'Traceback' not in completed.stderr


def test_valid_configuration_exits_with_0(tmp_path):
    """Guards against the rejection of a valid configuration."""
    file = tmp_path / 'config.json'
    file.write_bytes(configs.format_config(fleets.make_config(2)))
    completed = run_command('config', 'check', str(file))
    assert completed.returncode == cli_calls.EXIT_OK, completed.stderr


def test_refused_token_exits_with_3(tmp_path):
    """Guards against an exit code of 0 for a wrong token."""
    fleet = fleets.Fleet(tmp_path, 1, 0)
    try:
        fleet.start_all()
        _wait_until_listening(fleet.urls[0])
        completed = run_command(
            'status',
            '--entries',
            fleet.urls[0],
            DAMASKPIN_TOKEN=SECRET,
        )
    finally:
        fleet.stop_all()
    assert completed.returncode == cli_calls.EXIT_REFUSED, completed.stderr
    assert 'Token unknown' in completed.stderr
    assert SECRET not in completed.stderr


def _make_infeasible() -> bytes:
    return configs.format_config(fleets.make_config(0))


def _wait_until_listening(url: str) -> None:
    address = url.removeprefix('http://').split(':')

    async def is_listening() -> bool:
        with socket.create_connection((address[0], int(address[1])), 1.0):
            return True

    asyncio.run(fleets.wait_for(is_listening, fleets.START_TIMEOUT_S))


def test_config_apply_exits_with_the_code_of_the_outcome(tmp_path):
    """Guards against an exit code of 0 for a change that failed."""
    fleet = fleets.Fleet(tmp_path, 1, 0)
    good = tmp_path / 'good.json'
    good.write_bytes(configs.format_config(fleets.make_config(2)))
    bad = tmp_path / 'bad.json'
    bad.write_bytes(_make_infeasible())

    def apply(*arguments: str) -> int:
        completed = run_command(
            'config',
            'apply',
            *arguments,
            '--entries',
            fleet.urls[0],
            DAMASKPIN_TOKEN=fleets.OPERATOR_TOKEN,
        )
        assert 'Traceback' not in completed.stderr, completed.stderr
        return completed.returncode

    try:
        fleet.start_all()
        _wait_until_listening(fleet.urls[0])
        assert apply(str(bad)) == cli_calls.EXIT_REJECTED
        assert apply(str(good)) == cli_calls.EXIT_OK
        assert apply(str(good), '--revision', '0') == cli_calls.EXIT_SUPERSEDED
        assert apply(str(good), '--revision', 'x') == cli_calls.EXIT_REFUSED
    finally:
        fleet.stop_all()
