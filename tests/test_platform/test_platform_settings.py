"""Tests of the settings file that the platform writes."""

from __future__ import annotations

import json

import pytest

from damaskpin import errors
from damaskpin.platform import settings

FIELDS = {
    'node': 'front-a-1',
    'role': 'entry',
    'ip': '10.1.0.19',
    'zone': 'a',
    'region': 'r',
    'listen': {'front': '10.1.0.19:8521'},
    'portRange': [7000, 7015],
    'platform': {'addr': '10.200.1.7:8524', 'form': 'kv'},
    'seeds': ['10.2.0.35:8526'],
    'bounds': {'holdMaxMs': 6000, 'stopMs': 400, 'status_s': 60},
    'limits': {'cpuShare': 0.5, 'cores': 3, 'memoryMb': 300},
    'field of a later version': True,
}


def _load(tmp_path, monkeypatch, fields):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(fields))
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    return settings.load_settings()


def test_settings_are_converted_to_options(tmp_path, monkeypatch):
    """Guards against a wrong unit, which shortens leases or grants."""
    monkeypatch.delenv(settings.ADDRESS_VARIABLE, raising=False)
    process_options = _load(tmp_path, monkeypatch, FIELDS).make_options()
    assert process_options.listen == 'tcp://10.1.0.19:7000'
    assert process_options.address == process_options.listen
    assert process_options.seeds == ('tcp://10.2.0.35:7000',)
    assert process_options.lease_duration == 5.5
    assert process_options.stop_time == 0.4
    assert process_options.retention_time == 60.0
    assert process_options.cores == 1.5


def test_lease_is_limited_by_own_maximum(tmp_path, monkeypatch):
    """Guards against a long lease, which delays restarts of lost runs."""
    bounds = {**FIELDS['bounds'], 'holdMaxMs': 60000}
    fields = {**FIELDS, 'bounds': bounds}
    process_options = _load(tmp_path, monkeypatch, fields).make_options()
    assert process_options.lease_duration == settings.MAX_LEASE_S


def test_peer_address_may_differ_from_listen_address(tmp_path, monkeypatch):
    """Guards against an address that peers can't reach behind a forwarder."""
    monkeypatch.setenv(settings.ADDRESS_VARIABLE, 'tcp://10.9.9.9:1')
    process_options = _load(tmp_path, monkeypatch, FIELDS).make_options()
    assert process_options.address == 'tcp://10.9.9.9:1'
    assert process_options.listen == 'tcp://10.1.0.19:7000'


@pytest.mark.parametrize('name', ['node', 'portRange', 'platform'])
def test_missing_field_is_named(tmp_path, monkeypatch, name):
    """Guards against a process that starts with incomplete settings."""
    fields = {key: value for key, value in FIELDS.items() if key != name}
    with pytest.raises(errors.SettingsError, match=name):
        _load(tmp_path, monkeypatch, fields)
