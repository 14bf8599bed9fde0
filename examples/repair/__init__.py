"""The repair service of the Tauelsiz Zhondeu Cooperative."""
