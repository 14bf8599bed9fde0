"""Value types shared by all parts."""
