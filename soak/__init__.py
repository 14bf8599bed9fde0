"""Soak test: random faults against real daemons and a simulated platform."""
