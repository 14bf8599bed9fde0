"""Interface between an agent and the targets on its instance."""
