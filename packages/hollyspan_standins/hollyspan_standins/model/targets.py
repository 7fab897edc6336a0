"""What callers of the simulated fleet expect, from the users' sheets."""

__all__ = ["FIRST_EVENT_TARGET_S", "MAX_EVENT_PAUSE_S"]

# Target time from a request to its first event.
FIRST_EVENT_TARGET_S = 0.3
# Longest pause between two events of a timely answer.
MAX_EVENT_PAUSE_S = 0.5
