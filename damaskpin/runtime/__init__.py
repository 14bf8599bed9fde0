"""Loops that connect the decisions to the network."""
