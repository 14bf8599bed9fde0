"""Processes and loops that connect the decision logic to the network."""
