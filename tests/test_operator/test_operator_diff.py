"""Tests of the comparison of two configurations."""

import json

import msgspec

from damaskpin.model import config as configs
from damaskpin.operator import diff


def make_config(**fields):
    return msgspec.convert(fields, configs.Config)


def make_account(name, quota=8, guarantees=()):
    return {
        'name': name,
        'token_sha256': name * 64,
        'quota': quota,
        'guarantees': guarantees,
    }


def make_shape(count):
    return {
        'name': 'large',
        'accelerators': 16,
        'adjacency': 'rack',
        'count': count,
        'region': 'north',
    }


def test_changes_identify_list_items_by_name():
    """Guards against comparing list items by position.

    An inserted account would then show all later accounts as changed.
    """
    old = make_config(
        accounts=[
            make_account('b', 8, [make_shape(1)]),
            make_account('c'),
        ]
    )
    new = make_config(
        accounts=[
            make_account('a'),
            make_account('b', 9, [make_shape(2)]),
        ],
        failed_workers=2,
    )
    changes = diff.compare_configs(old, new)
    text = diff.format_text(changes).splitlines()
    assert text[0].startswith('+ accounts[a]: guarantees=[], max_queued=1000')
    assert text[1:3] == [
        '~ accounts[b].guarantees[large].count: 1 -> 2',
        '~ accounts[b].quota: 8 -> 9',
    ]
    assert text[3].startswith('- accounts[c]: ')
    assert text[4:] == ['~ failed_workers: 1 -> 2']
    documents = json.loads(diff.format_json(changes))
    assert documents[2] == {
        'kind': 'changed',
        'new': 9,
        'old': 8,
        'path': 'accounts[b].quota',
    }


def test_reordered_accounts_are_no_change():
    accounts = [make_account('a'), make_account('b')]
    changes = diff.compare_configs(
        make_config(accounts=accounts), make_config(accounts=accounts[::-1])
    )
    assert changes == []
    assert diff.format_text(changes) == 'no difference\n'


def test_first_configuration_has_only_additions():
    changes = diff.compare_configs(None, make_config(failed_workers=3))
    assert [(c.path, c.kind) for c in changes] == [('failed_workers', 'added')]
