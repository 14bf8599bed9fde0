"""Deployments of the users in section 1 of the design."""
