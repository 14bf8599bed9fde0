"""Reports on service-level objectives and on scheduling decisions."""
