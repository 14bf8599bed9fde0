"""All-or-none start of gang jobs."""
