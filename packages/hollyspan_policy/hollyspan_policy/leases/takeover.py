"""Time that a new holder waits before its first order."""

__all__ = ["compute_takeover_wait"]


def compute_takeover_wait(*, ttl, order_timeout, checks_fencing):
    """Compute how long a new holder waits before it sends orders.

    Parameters
    ----------
    ttl : float
        Of the lease, seconds.
    order_timeout : float
        Seconds after which an order is given up.
    checks_fencing : bool
        Whether the upstream refuses orders with an old fencing number.

    Returns
    -------
    float
        Seconds. An upstream that ignores fencing numbers could take an
        order of the earlier holder until its lease and the order's timeout
        have passed.

    Examples
    --------
    >>> compute_takeover_wait(ttl=10, order_timeout=2, checks_fencing=False)
    12
    """
    if checks_fencing:
        return 0
    return ttl + order_timeout
