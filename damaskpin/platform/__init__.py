"""Drivers for the users' platform; only translates."""
