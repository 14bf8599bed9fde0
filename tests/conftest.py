"""Settings shared by all tests."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
)
hypothesis.settings.register_profile(
    'long',
    deadline=None,
    max_examples=5000,
    stateful_step_count=80,
)
hypothesis.settings.load_profile(
    'long' if os.environ.get('DAMASKPIN_FUZZ') == 'long' else 'ci'
)
