"""Processes that connect the parts to the network."""
