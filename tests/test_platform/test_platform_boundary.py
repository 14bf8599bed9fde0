"""Tests of the boundary between the product and the platform."""

from __future__ import annotations

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent.parent / 'damaskpin'
PLATFORM = ROOT / 'platform'

# Names of the platform's interfaces that have no meaning in the product.
NAMES = re.compile(
    'kv-|run-start|run-stop|untilMs|fencingToken|expectedRev|apiKeys'
    '|rackLocal|antiAffinity|mayMiss|longRunning|DAMASKPIN_BOOT'
    '|op/config|holdMaxMs|memMb|fleetbench|X-Target-Instance'
)


def _list_outside():
    for path in sorted(ROOT.rglob('*.py')):
        if PLATFORM not in path.parents:
            yield path


def test_nothing_outside_imports_the_platform():
    """A product that imports its adapter can't run elsewhere."""
    for path in _list_outside():
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            if isinstance(node, ast.ImportFrom):
                names = [f'{node.module}.{a.name}' for a in node.names]
            for name in names:
                assert not name.startswith('damaskpin.platform'), path


def test_nothing_outside_knows_the_platforms_names():
    """The platform's words are decoded once, in its folder."""
    for path in _list_outside():
        found = NAMES.search(path.read_text())
        assert found is None, f'{path}: {found}'


def test_decisions_do_no_io():
    """Decisions that call the network can't be fuzzed."""
    for package in ('coordinator', 'agent', 'entry', 'model'):
        for path in sorted((ROOT / package).glob('*.py')):
            text = path.read_text()
            for name in ('asyncio', 'tornado', 'pycurl', 'pynng', 'time.'):
                pattern = rf'^(import|from) {re.escape(name)}'
                assert not re.search(pattern, text, re.M), path
