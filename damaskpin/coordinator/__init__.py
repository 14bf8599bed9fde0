"""Placement and life of jobs, decided without I/O."""
