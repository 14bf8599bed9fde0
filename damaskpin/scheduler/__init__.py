"""Decides where gang jobs run, without performing I/O."""
