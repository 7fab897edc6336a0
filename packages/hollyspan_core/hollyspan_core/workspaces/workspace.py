"""One workspace, as the operators configure it."""

__all__ = ["Workspace"]


class Workspace:
    """A group of callers with keys and limits of its own.

    Parameters
    ----------
    name : str
    priority : float or None, optional
        0 is the most urgent; it goes before that of the route. None leaves
        it to the route.
    rate : float, optional
        Requests a second over all daemons; 0 for no limit.
    burst : float, optional
        Requests that it may send beyond the rate at once.
    """

    __slots__ = ("name", "priority", "rate", "burst")

    def __init__(self, *, name, priority=None, rate=0.0, burst=0.0):
        self.name = name
        self.priority = priority
        self.rate = rate
        self.burst = burst
