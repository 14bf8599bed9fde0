"""Demo session against real processes."""
