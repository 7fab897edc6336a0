"""Slots to keep free for online arrivals."""

__all__ = ["compute_level", "share_reserve"]

LEAST_CERTAINTY = 0.3
CERTAINTY_RANGE = 2.7


def compute_level(harm_weight, *, upstreams=1):
    """Compute the quantile of the arrivals that one upstream covers.

    Parameters
    ----------
    harm_weight : float
        Weight of harm to online latency against batch throughput, 0 to 1.
    upstreams : int, optional
        Upstreams among which online work can choose.

    Returns
    -------
    float

    Notes
    -----
    An online request finds no free slot only when none of the upstreams
    has one. With independent shortages the product of their chances is the
    chance that the weight allows, so each may run short more often.

    Examples
    --------
    >>> round(compute_level(1.0), 3)
    0.999
    >>> round(compute_level(1.0, upstreams=3), 3)
    0.9
    """
    shortage = 10 ** -(LEAST_CERTAINTY + CERTAINTY_RANGE * harm_weight)
    return 1 - shortage ** (1 / upstreams)


def share_reserve(reserve, *, harm_weight, upstreams=1, rank=0):
    """Share the reserve out over the upstreams of a service.

    Parameters
    ----------
    reserve : int
        Slots that the service keeps free in the data centre.
    harm_weight : float
        At one half the upstreams keep the reserve together, at 1 each
        keeps all of it, at 0 none.
    upstreams : int, optional
        Upstreams among which online work can choose.
    rank : int, optional
        Place of this upstream among them, from 0.

    Returns
    -------
    int
        Slots that this upstream keeps free.

    Notes
    -----
    A reserve that is kept together costs less throughput. One that each
    upstream keeps stays of use when an owner fails, whose batch streams
    nobody makes yield for a time.

    Examples
    --------
    >>> [share_reserve(1, harm_weight=0.5, upstreams=3, rank=n)
    ...  for n in range(3)]
    [1, 0, 0]
    >>> [share_reserve(1, harm_weight=1.0, upstreams=3, rank=n)
    ...  for n in range(3)]
    [1, 1, 1]
    """
    below = min(1.0, 2 * harm_weight)
    above = max(0.0, 2 * harm_weight - 1)
    total = round(reserve * (below + (upstreams - 1) * above))
    return total // upstreams + (rank < total % upstreams)
