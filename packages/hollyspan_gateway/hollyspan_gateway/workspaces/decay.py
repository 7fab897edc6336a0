"""Rate of something that happens in amounts, weighted to the last seconds."""

import math

__all__ = ["RecentRate", "RECENT_S"]

# Time constant of recent rates: shorter than a wave, and long enough that a
# few requests at once are no flood.
RECENT_S = 1.0


class RecentRate:
    """Amount a second, in which older amounts count less.

    Attributes
    ----------
    amount : float
        Sum of the amounts, each with its weight.
    updated : float
        Time of the weights, in seconds.
    """

    __slots__ = ("amount", "updated")

    def __init__(self, *, now):
        self.amount = 0.0
        self.updated = now

    def add(self, amount, *, now):
        """Add an amount."""
        self.set(self.measure(now=now) + amount / RECENT_S, now=now)

    def set(self, rate, *, now):
        """Replace the rate."""
        self.amount = rate * RECENT_S
        self.updated = now

    def measure(self, *, now):
        """Return the amount a second."""
        age = max(0.0, now - self.updated)
        return self.amount / RECENT_S * math.exp(-age / RECENT_S)
