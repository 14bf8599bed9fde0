"""Requests to announced targets."""
