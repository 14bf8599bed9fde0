"""Cases of the independent review, with the stand-ins that they start."""
