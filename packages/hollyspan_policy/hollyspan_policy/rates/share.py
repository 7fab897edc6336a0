"""Shares of the daemons in the rate limits of upstreams."""

import math

from ..hashing import hash_parts

__all__ = ["LimitedUpstream", "RateSharer", "divide_rate_limits"]

# Most daemons that share a limit. Each may send one request at once after a
# pause and one ahead of its share.
MAX_PLACES = 4


class LimitedUpstream:
    """An upstream that accepts a limited rate of requests.

    Parameters
    ----------
    name : str
    region : object
    per_second : float
        Requests a second that it accepts from all daemons.
    """

    __slots__ = ("name", "region", "per_second")

    def __init__(self, *, name, region, per_second):
        self.name = name
        self.region = region
        self.per_second = per_second


class RateSharer:
    """A live daemon that may have a share.

    Parameters
    ----------
    identifier : str
    region : object
    runs_batch : bool
    """

    __slots__ = ("identifier", "region", "runs_batch")

    def __init__(self, *, identifier, region, runs_batch):
        self.identifier = identifier
        self.region = region
        self.runs_batch = runs_batch


def divide_rate_limits(upstreams, *, sharers, is_batch_included=False):
    """Divide the rate limits of a service's upstreams among the daemons.

    Parameters
    ----------
    upstreams : list of LimitedUpstream
    sharers : list of RateSharer
        The live daemons that are not shutting down.
    is_batch_included : bool, optional
        Whether the service has batch work. Else only daemons that run none
        share the limits, unless there are no others.

    Returns
    -------
    dict
        By name of the upstream, a dict of the shares in requests a second by
        daemon; a daemon that is left out sends nothing there.

    Notes
    -----
    Load pattern: hundreds of daemons send to an upstream in need that accepts
    three requests a second. Equal shares of all daemons would let each send
    once in minutes, whatever its load, and every burst of one request by each
    would exceed the limit many times. A limit is therefore divided among a
    few daemons: one for each request a second and one more, four at most, in
    the upstream's region if there are enough. The places of all upstreams are
    dealt out in turn to the daemons in the order of their hashes, so that each
    daemon has about as many. All daemons compute the same shares without
    messages. One place of each upstream, or all places of each fourth where
    there is only one, go to batch work: its long runs use the slots that such
    an upstream has left over with the fewest requests.

    Examples
    --------
    >>> upstream = LimitedUpstream(name="u", region="r", per_second=3.0)
    >>> sharer = RateSharer(identifier="f", region="r", runs_batch=False)
    >>> divide_rate_limits([upstream], sharers=[sharer])
    {'u': {'f': 3.0}}
    """
    batch = sort_sharers(each for each in sharers if each.runs_batch)
    online = sort_sharers(each for each in sharers if not each.runs_batch)
    turns = {}
    shares = {}
    if not online or not is_batch_included:
        online, batch = online or batch, []
    upstreams = sorted(upstreams, key=lambda each: each.name)
    for number, upstream in enumerate(upstreams, 1):
        places = min(MAX_PLACES, 1 + math.floor(upstream.per_second))
        batch_places = 1 if batch else 0
        if places == 1 and number % MAX_PLACES:
            batch_places = 0
        shares[upstream.name] = {
            **deal(upstream, batch, turns, batch_places, places),
            **deal(upstream, online, turns, places - batch_places, places),
        }
    return shares


def sort_sharers(sharers):
    """Return daemons in the order in which places are dealt out."""
    return sorted(
        sharers, key=lambda each: hash_parts("rate", each.identifier)
    )


def deal(upstream, sharers, turns, places, all_places):
    """Give some of the places of a limit to the daemons whose turn it is."""
    near = [each for each in sharers if each.region == upstream.region]
    region = None
    if len(near) >= places:
        sharers, region = near, upstream.region
    if not sharers or not places:
        return {}
    share = upstream.per_second * places / all_places
    places = min(places, len(sharers))
    key = region, sharers[0].runs_batch
    first = turns.get(key, 0)
    turns[key] = first + places
    return {
        sharers[turn % len(sharers)].identifier: share / places
        for turn in range(first, first + places)
    }
