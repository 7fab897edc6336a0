"""What daemons tell the keepers of a workspace's rate, and their answers."""

__all__ = ["RateAnswer", "RateUse"]


class RateUse:
    """Requests of one workspace at one daemon.

    Parameters
    ----------
    admitted, refused : int
        Requests since the daemon started; those that got no run do not count
        as admitted.
    demand : float
        Requests a second of late, both admitted and refused.
    recent : int
        Admitted requests of late.
    fraction : float
        Part of the requests that it admits.
    """

    __slots__ = ("admitted", "refused", "demand", "recent", "fraction")

    def __init__(self, *, admitted, refused, demand, recent, fraction):
        self.admitted = admitted
        self.refused = refused
        self.demand = demand
        self.recent = recent
        self.fraction = fraction


class RateAnswer:
    """What a keeper tells a daemon about one workspace.

    Parameters
    ----------
    fraction : float
        Part of the requests to admit, 0 to 1.
    share : float or None, optional
        The daemon's part of the demand of all daemons; None if it is not
        told.
    """

    __slots__ = ("fraction", "share")

    def __init__(self, *, fraction, share=None):
        self.fraction = fraction
        self.share = share
