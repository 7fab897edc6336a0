"""Decisions of the entry daemon, free of I/O, clock and randomness."""
