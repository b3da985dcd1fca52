"""A randomised soak of the entry daemon with faults from outside; see soak.py."""
