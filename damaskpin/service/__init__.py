"""Routing of service requests to the slots of announced targets."""
