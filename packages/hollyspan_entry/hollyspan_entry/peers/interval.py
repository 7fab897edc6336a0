"""Interval of heartbeats."""

__all__ = ["FULL_RATE_DAEMONS", "choose_interval"]

# Other daemons of a data centre up to which each is told at the full rate.
FULL_RATE_DAEMONS = 8


def choose_interval(timing, *, near):
    """Return the seconds between heartbeats.

    Parameters
    ----------
    timing : Timing
    near : int
        Other daemons of the data centre.

    Returns
    -------
    float

    Notes
    -----
    Each daemon hears all others, so that the interval grows with their
    number to keep the traffic bounded. Bursts do not wait for it.
    """
    return timing.heartbeat * max(1.0, near / FULL_RATE_DAEMONS)
