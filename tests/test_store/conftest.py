"""Fixtures for tests of the store client."""

import pytest

from tests.test_store import harness


@pytest.fixture
def run_with_store():
    return harness.run_with_store
