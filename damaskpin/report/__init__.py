"""Reports on service levels and decisions."""
