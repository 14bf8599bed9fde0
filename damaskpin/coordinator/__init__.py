"""Decisions on the placement and the states of jobs, without I/O."""
