"""Demo that runs requests and jobs against real processes."""
