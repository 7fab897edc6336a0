"""Delay of a new lease holder before its first order."""

__all__ = ["compute_takeover_wait"]


def compute_takeover_wait(*, ttl, order_timeout, checks_fencing):
    """Compute the time that a new holder waits before it sends orders.

    Parameters
    ----------
    ttl : float
        Time to live of the lease, seconds.
    order_timeout : float
        Timeout of an order, seconds.
    checks_fencing : bool
        Whether the upstream refuses orders with an old fencing number.

    Returns
    -------
    float
        Seconds. An upstream that ignores fencing numbers could accept an
        order of the previous holder until that holder's lease has expired
        and the order has timed out.

    Examples
    --------
    >>> compute_takeover_wait(ttl=10, order_timeout=2, checks_fencing=False)
    12
    """
    if checks_fencing:
        return 0
    return ttl + order_timeout
