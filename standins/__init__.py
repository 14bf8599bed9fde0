"""Simulated store, worker and target for tests, benchmarks and the demo."""
