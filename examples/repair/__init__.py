"""Deployment of the repair service of the Tauelsiz Zhondeu Cooperative."""
