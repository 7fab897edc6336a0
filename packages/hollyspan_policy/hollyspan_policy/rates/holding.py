"""Decision whether a request waits for the rate limits of upstreams."""

__all__ = ["must_hold_for_rate"]

# Time for a whole run after the wait.
MIN_RUN_S = 1.0


def must_hold_for_rate(*, first_wait, rate, ahead, seconds_left):
    """Decide whether to hold a request until a limit lets it through.

    Parameters
    ----------
    first_wait : float
        Time until the next request may be sent, seconds.
    rate : float
        Requests a second that this daemon may send.
    ahead : int
        Number of requests that are held already.
    seconds_left : float
        Time until the request's deadline.

    Returns
    -------
    bool
        False for a request that would be let through too late, which is
        refused instead.

    Notes
    -----
    Load pattern: all upstreams of a service name limits below the demand.

    Examples
    --------
    >>> must_hold_for_rate(first_wait=0.2, rate=2.0, ahead=1, seconds_left=5.0)
    True
    >>> must_hold_for_rate(first_wait=0.2, rate=2.0, ahead=9, seconds_left=5.0)
    False
    """
    if not rate:
        return False
    return first_wait + ahead / rate + MIN_RUN_S < seconds_left
