"""Difference of two configurations."""

from __future__ import annotations

from typing import Literal
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from damaskpin.model import config as configs

# Lists whose items are identified by fields instead of their position.
_IDENTITIES = {
    'accounts': ('name',),
    'guarantees': ('name',),
    'racks': ('data_centre', 'name'),
}
_SIGNS = {'added': '+', 'removed': '-', 'changed': '~'}


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """One value that differs.

    :ivar path: place, as ``accounts[agencies].quota``.
    :ivar old: former value; ``None`` when it was added.
    :ivar new: new value; ``None`` when it was removed.
    """

    path: str
    kind: Literal['added', 'removed', 'changed']
    old: object = None
    new: object = None


def compare_configs(
    old: configs.Config | None, new: configs.Config
) -> list[Change]:
    """Return what differs, sorted by place; the order of lists is ignored.

    :param old: former configuration; ``None`` if there was none.
    :param new: new configuration.
    """
    former = msgspec.to_builtins(old) if old is not None else {}
    changes: list[Change] = []
    _compare('', former, msgspec.to_builtins(new), changes)
    return sorted(changes, key=lambda change: change.path)


def format_text(changes: list[Change]) -> str:
    """Return the difference as lines for a reader."""
    if not changes:
        return 'no difference\n'
    lines = []
    for change in changes:
        sign = _SIGNS[change.kind]
        match change.kind:
            case 'added':
                shown = _format_value(change.new)
            case 'removed':
                shown = _format_value(change.old)
            case 'changed':
                shown = (
                    f'{_format_value(change.old)} -> '
                    f'{_format_value(change.new)}'
                )
        lines.append(f'{sign} {change.path}: {shown}\n')
    return ''.join(lines)


def format_json(changes: list[Change]) -> str:
    """Return the difference as JSON."""
    text = msgspec.json.encode(changes, order='sorted')
    return msgspec.json.format(text, indent=2).decode() + '\n'


def _compare(
    path: str, old: object, new: object, changes: list[Change]
) -> None:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            place = f'{path}.{key}' if path else key
            _compare_member(place, key, old, new, changes)
        return
    if old != new:
        changes.append(Change(path, 'changed', old, new))


def _compare_member(
    place: str,
    key: str,
    old: dict[str, object],
    new: dict[str, object],
    changes: list[Change],
) -> None:
    if key in _IDENTITIES:
        _compare_items(place, key, old.get(key, []), new.get(key, []), changes)
        return
    if key not in old:
        changes.append(Change(place, 'added', None, new[key]))
    elif key not in new:
        changes.append(Change(place, 'removed', old[key], None))
    else:
        _compare(place, old[key], new[key], changes)


def _compare_items(
    place: str,
    key: str,
    old: list[dict[str, object]],
    new: list[dict[str, object]],
    changes: list[Change],
) -> None:
    former = {_identify(key, item): item for item in old}
    present = {_identify(key, item): item for item in new}
    for name in sorted(former.keys() | present.keys()):
        inner = f'{place}[{name}]'
        if name not in former:
            changes.append(Change(inner, 'added', None, present[name]))
        elif name not in present:
            changes.append(Change(inner, 'removed', former[name], None))
        else:
            _compare(inner, former[name], present[name], changes)


def _identify(key: str, item: dict[str, object]) -> str:
    return '/'.join(str(item[field]) for field in _IDENTITIES[key])


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        fields = (
            f'{key}={_format_value(value[key])}' for key in sorted(value)
        )
        return ', '.join(fields)
    if isinstance(value, list):
        return '[' + '; '.join(_format_value(item) for item in value) + ']'
    return str(value)
