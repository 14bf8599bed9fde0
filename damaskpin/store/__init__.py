"""Interface to the platform's key-value service."""
