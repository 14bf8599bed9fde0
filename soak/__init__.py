"""Randomized soak of the real programs against stand-ins of the platform."""
