"""Tests that only the platform package depends on the platform."""

from __future__ import annotations

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent.parent / 'damaskpin'
PLATFORM = ROOT / 'platform'

# Names in the platform's interfaces that must not occur outside the platform
# package.
PLATFORM_NAMES = re.compile(
    'kv-|run-start|run-stop|untilMs|fencingToken|expectedRev|apiKeys'
    '|rackLocal|antiAffinity|mayMiss|longRunning|DAMASKPIN_BOOT'
    '|op/config|holdMaxMs|memMb|fleetbench|X-Target-Instance'
)


def _list_other_files():
    for path in sorted(ROOT.rglob('*.py')):
        if PLATFORM not in path.parents:
            yield path


def test_other_packages_do_not_import_platform_package():
    """Guards against imports that tie the scheduler to one platform."""
    for path in _list_other_files():
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            if isinstance(node, ast.ImportFrom):
                names = [f'{node.module}.{a.name}' for a in node.names]
            for name in names:
                assert not name.startswith('damaskpin.platform'), path


def test_platform_names_occur_only_in_platform_package():
    """Guards against wire and setting names outside the platform package."""
    for path in _list_other_files():
        found = PLATFORM_NAMES.search(path.read_text())
        assert found is None, f'{path}: {found}'


def test_decisions_do_no_io():
    """Guards against I/O in decision code, which could not be fuzzed."""
    for package in ('coordinator', 'agent', 'entry', 'model'):
        for path in sorted((ROOT / package).glob('*.py')):
            source = path.read_text()
            for name in ('asyncio', 'tornado', 'pycurl', 'pynng', 'time.'):
                pattern = rf'^(import|from) {re.escape(name)}'
                assert not re.search(pattern, source, re.M), path
