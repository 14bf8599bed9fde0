"""Protocol between our own processes."""
