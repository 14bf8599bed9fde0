"""Benchmarks with seeded, reproducible inputs."""
