"""Shares of the daemons in the rate limits of upstreams."""

import math

from ..hashing import hash_parts

__all__ = ["LimitedUpstream", "RateSharer", "divide_rate_limits"]


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
        Whether batch work has a share, for services all of whose upstreams
        are limited. Else only daemons that run none share the limits, unless
        there are no others.

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
    few daemons: one for each request a second, and one more, in the upstream's
    region if there are enough. The places of all upstreams are dealt out in
    turn to the daemons in the order of their hashes, so that each daemon has
    about as many. All daemons compute the same shares without messages.

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
    for upstream in sorted(upstreams, key=lambda each: each.name):
        places = 1 + math.floor(upstream.per_second)
        shares[upstream.name] = found = {}
        if not online or not (is_batch_included and batch and places > 1):
            deal(found, upstream, online or batch, turns, places, 1.0)
            continue
        deal(found, upstream, batch, turns, 1, 1 / places)
        deal(found, upstream, online, turns, places - 1, 1 - 1 / places)
    return shares


def sort_sharers(sharers):
    return sorted(
        sharers, key=lambda each: hash_parts("rate", each.identifier)
    )


def deal(found, upstream, sharers, turns, places, fraction):
    """Give a fraction of a limit to the daemons whose turn it is."""
    near = [each for each in sharers if each.region == upstream.region]
    region = None
    if len(near) >= places:
        sharers, region = near, upstream.region
    if not sharers:
        return
    places = min(places, len(sharers))
    key = region, sharers[0].runs_batch
    first = turns.get(key, 0)
    turns[key] = first + places
    for turn in range(first, first + places):
        identifier = sharers[turn % len(sharers)].identifier
        found[identifier] = upstream.per_second * fraction / places
