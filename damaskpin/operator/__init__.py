"""Library and commands for operators."""
