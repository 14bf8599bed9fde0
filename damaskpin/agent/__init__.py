"""Decisions of the agent that controls one worker, without I/O."""
