"""Start of gang jobs on all of their accelerators or on none."""
