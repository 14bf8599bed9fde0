"""Interface to the workers of the platform."""
