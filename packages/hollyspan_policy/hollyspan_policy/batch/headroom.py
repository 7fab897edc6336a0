"""Number of slots to keep free for online arrivals."""

__all__ = ["compute_quantile_level", "split_reserve"]

MIN_SHORTAGE_EXPONENT = 0.3
SHORTAGE_EXPONENT_RANGE = 2.7


def compute_quantile_level(harm_weight, *, upstreams=1):
    """Compute the quantile level of arrivals that one upstream must cover.

    Parameters
    ----------
    harm_weight : float
        Weight of online latency relative to batch throughput, from 0 to 1.
    upstreams : int, optional
        Number of upstreams that can serve an online request.

    Returns
    -------
    float
        From 0 to 1.

    Notes
    -----
    An online request finds no free slot only when none of the upstreams
    has one. For independent shortages, the product of their probabilities
    equals the probability that the weight allows, so each upstream may be
    short of slots more often.

    Examples
    --------
    >>> round(compute_quantile_level(1.0), 3)
    0.999
    >>> round(compute_quantile_level(1.0, upstreams=3), 3)
    0.9
    """
    shortage_probability = 10 ** -(
        MIN_SHORTAGE_EXPONENT + SHORTAGE_EXPONENT_RANGE * harm_weight
    )
    return 1 - shortage_probability ** (1 / upstreams)


def split_reserve(reserve, *, harm_weight, upstreams=1, rank=0):
    """Split the reserve over the upstreams of a service.

    Parameters
    ----------
    reserve : int
        Slots that the service keeps free in the data centre.
    harm_weight : float
        At 0.5 the upstreams keep the reserve together, at 1 each upstream
        keeps the whole reserve, at 0 none is kept.
    upstreams : int, optional
        Number of upstreams that can serve an online request.
    rank : int, optional
        Rank of this upstream among them, from 0.

    Returns
    -------
    int
        Slots that this upstream keeps free.

    Notes
    -----
    A reserve kept by the upstreams together costs less throughput. A reserve
    kept at each upstream remains effective when an owner fails and its batch
    streams are not preempted for some time.

    Examples
    --------
    >>> [split_reserve(1, harm_weight=0.5, upstreams=3, rank=n)
    ...  for n in range(3)]
    [1, 0, 0]
    >>> [split_reserve(1, harm_weight=1.0, upstreams=3, rank=n)
    ...  for n in range(3)]
    [1, 1, 1]
    """
    pooled_fraction = min(1.0, 2 * harm_weight)
    individual_fraction = max(0.0, 2 * harm_weight - 1)
    total = round(
        reserve * (pooled_fraction + (upstreams - 1) * individual_fraction)
    )
    return total // upstreams + (rank < total % upstreams)
