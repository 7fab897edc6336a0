"""Heartbeat interval."""

__all__ = ["MAX_FULL_RATE_PEERS", "choose_interval"]

# Number of peers in a data centre up to which heartbeats go out at full rate.
MAX_FULL_RATE_PEERS = 8


def choose_interval(timing, *, peer_count):
    """Return the heartbeat interval in seconds.

    Parameters
    ----------
    timing : Timing
    peer_count : int
        Number of other daemons in the data centre.

    Returns
    -------
    float

    Notes
    -----
    Each daemon sends to all others, so the interval grows with their number
    to bound the traffic. Bursts of load are sent in notices, which don't
    wait for the interval.
    """
    return timing.heartbeat * max(1.0, peer_count / MAX_FULL_RATE_PEERS)
