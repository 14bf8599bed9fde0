"""Admission and answers for callers, decided without I/O."""
