"""Interface to the targets beside an agent."""
