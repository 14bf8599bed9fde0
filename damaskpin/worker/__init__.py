"""HTTP client for the workers of the platform."""
