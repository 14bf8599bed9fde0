"""Seeded measurements."""
