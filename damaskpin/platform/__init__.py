"""Adapters that translate between the platform's and our own terms."""
