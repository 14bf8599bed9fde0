"""Library with which operators write, check and propose configurations."""
