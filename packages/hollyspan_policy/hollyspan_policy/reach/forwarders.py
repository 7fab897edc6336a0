"""Choice of the daemon that runs a request in place of another."""

from ..hashing import hash_parts

__all__ = ["Forwarder", "choose_forwarder"]

# Daemons that are compared by the requests in flight there.
SAMPLED_FORWARDERS = 2
# Requests in flight at a near daemon that outweigh the longer way to one in
# another region.
OTHER_REGION_COST_REQUESTS = 4


class Forwarder:
    """Daemon that can run requests in place of others.

    Parameters
    ----------
    identifier : str
    is_near : bool
        Whether it is in the region of the daemon that chooses.
    in_flight : int
        Requests that the daemon that chooses has in flight there.
    lost_share : float
        Share of the upstreams that it cannot reach, from 0 to 1.
    """

    __slots__ = ("identifier", "is_near", "in_flight", "lost_share")

    def __init__(self, *, identifier, is_near, in_flight, lost_share):
        self.identifier = identifier
        self.is_near = is_near
        self.in_flight = in_flight
        self.lost_share = lost_share


def choose_forwarder(forwarders, *, key):
    """Choose the daemon that runs a request.

    Parameters
    ----------
    forwarders : iterable of Forwarder
        Live daemons that accept requests.
    key : str
        Identifier of the request.

    Returns
    -------
    Forwarder or None
        None without a daemon that reaches more than half of the upstreams.

    Notes
    -----
    Load pattern: 20 of 390 daemons, all those of a data centre, lose their
    links at once, and the 120 requests a second of their callers have to run
    elsewhere. Each daemon chooses for itself. The request's key draws some
    near daemons and as many far ones, and the one with the fewest requests is
    taken [1]_, so that the load spreads evenly and passes on to other regions
    where few near daemons are left.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.

    Examples
    --------
    >>> near = Forwarder(
    ...     identifier="a", is_near=True, in_flight=1, lost_share=0.0
    ... )
    >>> far = Forwarder(
    ...     identifier="b", is_near=False, in_flight=0, lost_share=0.0
    ... )
    >>> choose_forwarder([near, far], key="q").identifier
    'a'
    """
    able = [each for each in forwarders if each.lost_share < 0.5]
    best = min((each.lost_share for each in able), default=0.0)
    sampled = []
    for is_near in (True, False):
        group = [
            each
            for each in able
            if each.is_near is is_near and each.lost_share == best
        ]
        group.sort(key=lambda each: hash_parts(key, each.identifier))
        sampled += group[:SAMPLED_FORWARDERS]

    def count_cost(forwarder):
        far = 0 if forwarder.is_near else OTHER_REGION_COST_REQUESTS
        return forwarder.in_flight + far

    return min(sampled, key=count_cost, default=None)
