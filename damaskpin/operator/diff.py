"""Comparison of two configurations."""

from __future__ import annotations

from typing import Literal
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from damaskpin.model import config as configs

# Lists whose items are matched by the given fields instead of by position.
_IDENTIFYING_FIELDS = {
    'accounts': ('name',),
    'guarantees': ('name',),
    'racks': ('data_centre', 'name'),
}
_SIGN_BY_KIND = {'added': '+', 'removed': '-', 'changed': '~'}


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Difference between two configurations in one value.

    :ivar path: path of the value, such as ``accounts[agencies].quota``.
    :ivar kind: whether the value was added, removed or changed.
    :ivar old: old value; ``None`` if the value was added.
    :ivar new: new value; ``None`` if the value was removed.
    """

    path: str
    kind: Literal['added', 'removed', 'changed']
    old: object = None
    new: object = None


def compare_configs(
    old: configs.Config | None, new: configs.Config
) -> list[Change]:
    """Return the changes between two configurations, sorted by path.

    The order of accounts, guarantees and racks is ignored.

    :param old: old configuration; ``None`` if none existed.
    :param new: new configuration.
    """
    old_document = msgspec.to_builtins(old) if old is not None else {}
    changes: list[Change] = []
    _compare_values('', old_document, msgspec.to_builtins(new), changes)
    return sorted(changes, key=lambda change: change.path)


def format_text(changes: list[Change]) -> str:
    """Format changes as text, one line for each change."""
    if not changes:
        return 'no difference\n'
    lines = []
    for change in changes:
        sign = _SIGN_BY_KIND[change.kind]
        match change.kind:
            case 'added':
                value_text = _format_value(change.new)
            case 'removed':
                value_text = _format_value(change.old)
            case 'changed':
                value_text = (
                    f'{_format_value(change.old)} -> '
                    f'{_format_value(change.new)}'
                )
        lines.append(f'{sign} {change.path}: {value_text}\n')
    return ''.join(lines)


def format_json(changes: list[Change]) -> str:
    """Format changes as a JSON list."""
    text = msgspec.json.encode(changes, order='sorted')
    return msgspec.json.format(text, indent=2).decode() + '\n'


def _compare_values(
    path: str, old: object, new: object, changes: list[Change]
) -> None:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            member_path = f'{path}.{key}' if path else key
            _compare_member(member_path, key, old, new, changes)
        return
    if old != new:
        changes.append(Change(path, 'changed', old, new))


def _compare_member(
    member_path: str,
    key: str,
    old: dict[str, object],
    new: dict[str, object],
    changes: list[Change],
) -> None:
    if key in _IDENTIFYING_FIELDS:
        _compare_lists(
            member_path, key, old.get(key, []), new.get(key, []), changes
        )
        return
    if key not in old:
        changes.append(Change(member_path, 'added', None, new[key]))
    elif key not in new:
        changes.append(Change(member_path, 'removed', old[key], None))
    else:
        _compare_values(member_path, old[key], new[key], changes)


def _compare_lists(
    member_path: str,
    key: str,
    old: list[dict[str, object]],
    new: list[dict[str, object]],
    changes: list[Change],
) -> None:
    old_items = {_get_identity(key, item): item for item in old}
    new_items = {_get_identity(key, item): item for item in new}
    for name in sorted(old_items.keys() | new_items.keys()):
        item_path = f'{member_path}[{name}]'
        if name not in old_items:
            changes.append(Change(item_path, 'added', None, new_items[name]))
        elif name not in new_items:
            changes.append(Change(item_path, 'removed', old_items[name], None))
        else:
            _compare_values(
                item_path, old_items[name], new_items[name], changes
            )


def _get_identity(key: str, item: dict[str, object]) -> str:
    return '/'.join(str(item[field]) for field in _IDENTIFYING_FIELDS[key])


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        fields = (
            f'{key}={_format_value(value[key])}' for key in sorted(value)
        )
        return ', '.join(fields)
    if isinstance(value, list):
        return '[' + '; '.join(_format_value(item) for item in value) + ']'
    return str(value)
