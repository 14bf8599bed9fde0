"""Admission of jobs and replies to callers, without I/O."""
