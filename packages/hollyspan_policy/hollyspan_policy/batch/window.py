"""Minimum of a series within a sliding window."""

import collections

__all__ = ["SlidingMinimum"]


class SlidingMinimum:
    """Minimum of the values that held within a sliding time window.

    Parameters
    ----------
    window : float
        Length of the window, seconds.

    Examples
    --------
    >>> minimum = SlidingMinimum(window=1.0)
    >>> minimum.observe(2, now=0.0)
    >>> minimum.observe(5, now=0.5)
    >>> minimum.find(now=1.0)
    2
    >>> minimum.find(now=1.6)
    5
    """

    __slots__ = ("window", "values")

    def __init__(self, *, window):
        self.window = window
        self.values = collections.deque()

    def observe(self, value, *, now):
        """Record a value that holds from now on.

        Parameters
        ----------
        value : int
        now : float
            Monotonic seconds.
        """
        values = self.values
        if values and values[-1][1] == value:
            return
        # A larger value can no longer be the minimum once this one holds.
        while values and values[-1][1] > value:
            values.pop()
        values.append((now, value))

    def find(self, *, now):
        """Return the minimum within the window.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
            None before the first value.
        """
        values = self.values
        # A value counts until its successor has held for a whole window.
        while len(values) > 1 and now - values[1][0] >= self.window:
            values.popleft()
        return values[0][1] if values else None
