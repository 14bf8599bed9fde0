"""Protocol between damaskpin processes."""
