"""Example deployments of two users of damaskpin."""
