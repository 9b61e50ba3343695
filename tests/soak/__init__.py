"""A randomized fault soak: the real programs, with faults from outside."""
