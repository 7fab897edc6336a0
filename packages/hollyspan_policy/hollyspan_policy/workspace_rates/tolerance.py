"""How far the requests of a workspace may exceed its rate."""

__all__ = ["RateTolerance"]

# Part of the margin that a workspace may use at any time; the rest covers
# what is admitted before the keepers know of it.
ADMITTED_PART = 0.5


class RateTolerance:
    """Bounds on the requests of a workspace in any window of time.

    Parameters
    ----------
    window_seconds : float, optional
        Length of the windows.
    overage : float, optional
        Share of what the rate and the burst allow that may be exceeded.
    slack : float, optional
        Requests beyond that.
    """

    __slots__ = ("window_seconds", "overage", "slack")

    def __init__(self, *, window_seconds=5.0, overage=0.0, slack=0.0):
        self.window_seconds = window_seconds
        self.overage = overage
        self.slack = slack

    def measure_bound(self, *, rate, burst):
        """Return the most requests in any window.

        Parameters
        ----------
        rate : float
            Requests a second.
        burst : float
            Requests beyond the rate at once.

        Returns
        -------
        float

        Examples
        --------
        >>> tolerance = RateTolerance(overage=0.1, slack=20.0)
        >>> round(tolerance.measure_bound(rate=10.0, burst=10.0))
        86
        """
        allowed = rate * self.window_seconds + burst
        return allowed + self.measure_margin(rate=rate, burst=burst)

    def measure_capacity(self, *, rate, burst):
        """Return the capacity of the workspace's token bucket.

        Parameters
        ----------
        rate, burst : float

        Returns
        -------
        float
            At least one request.
        """
        margin = self.measure_margin(rate=rate, burst=burst)
        return max(1.0, burst + ADMITTED_PART * margin)

    def measure_margin(self, *, rate, burst):
        """Return the requests in a window beyond the rate and the burst."""
        return (rate * self.window_seconds + burst) * self.overage + self.slack
