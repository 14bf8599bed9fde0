"""Tests of the help of the command line."""

from __future__ import annotations

import pytest

from damaskpin import cli

COMMANDS = [
    ['agent'],
    ['cancel'],
    ['config', 'apply'],
    ['config', 'check'],
    ['config', 'diff'],
    ['config', 'settle'],
    ['config', 'show'],
    ['config', 'status'],
    ['drain'],
    ['entry'],
    ['explain'],
    ['report'],
    ['request'],
    ['settings'],
    ['status'],
    ['submit'],
]


def read_help(monkeypatch, capsys, *arguments):
    monkeypatch.setattr('sys.argv', ['damaskpin', *arguments, '--help'])
    with pytest.raises(SystemExit) as exit_info:
        cli.main()
    assert exit_info.value.code == 0
    output = capsys.readouterr()
    return output.out + output.err


def test_help_lists_all_commands(monkeypatch, capsys):
    """Guards against a main help page that does not list all commands."""
    text = read_help(monkeypatch, capsys)
    for command in COMMANDS:
        assert command[0] in text


@pytest.mark.parametrize('command', COMMANDS, ids=' '.join)
def test_command_has_help(command, monkeypatch, capsys):
    """Guards against a command without a description."""
    text = read_help(monkeypatch, capsys, *command)
    assert f'damaskpin {" ".join(command)} - ' in text
