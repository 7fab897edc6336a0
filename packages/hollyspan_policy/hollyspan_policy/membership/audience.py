"""Who is told of load, and how often, as the fleet grows."""

__all__ = [
    "choose_audience",
    "choose_beat_seconds",
    "choose_gathering",
    "is_small_fleet",
]

# Seconds between two heartbeats of a small fleet.
SHORTEST_BEAT_S = 0.3
# Seconds between two heartbeats of a large one: a daemon that stays silent for
# three of these is replaced within the time of one batch item.
LONGEST_BEAT_S = 1.0
# Live daemons up to which each hears all others at the shortest interval, and
# of each change of load: some hundred datagrams a second, 1% of a core.
SMALL_FLEET = 24
# Seconds that a change of load waits for others to go with it: far below the
# time in which an online request's first event is due. In a large fleet the
# start of a request and the report with its first event go together.
GATHER_S = 0.008
LARGE_GATHER_S = 0.025


def choose_beat_seconds(live):
    """Choose the time between two heartbeats.

    Parameters
    ----------
    live : int
        Daemons that are heard.

    Returns
    -------
    float
        Seconds. It grows with the number of daemons, so that the datagrams
        that one of them receives in a second do not.

    Examples
    --------
    >>> choose_beat_seconds(10), choose_beat_seconds(48)
    (0.3, 0.6)
    """
    beat = SHORTEST_BEAT_S * live / SMALL_FLEET
    return min(LONGEST_BEAT_S, max(SHORTEST_BEAT_S, beat))


def is_small_fleet(live):
    """Tell whether all daemons hear of each change of load at once.

    Parameters
    ----------
    live : int
        Daemons that are heard.

    Returns
    -------
    bool
    """
    return live <= SMALL_FLEET


def choose_gathering(live):
    """Choose how long a change of load waits for others.

    Parameters
    ----------
    live : int
        Daemons that are heard.

    Returns
    -------
    float
        Seconds.
    """
    return GATHER_S if is_small_fleet(live) else LARGE_GATHER_S


def choose_audience(peers, *, region, holders, is_batch_only=False):
    """Choose the daemons that are told of a change of load at once.

    Parameters
    ----------
    peers : list
        Live daemons, with a `region` and `runs_batch`.
    region : object
        Where the upstream is.
    holders : collection
        The daemons among them with batch work at the upstream.
    is_batch_only : bool, optional
        Only batch work has changed, which gives way to online requests
        wherever these are sent.

    Returns
    -------
    list
        All of a small fleet. In a large one those near the upstream, which
        send most of its requests, and those whose batch work has to give way
        there; the others learn of it with the next heartbeat. Changes of
        batch work go to those that run some.

    Notes
    -----
    Load pattern: 80 daemons, each with some requests a second that begin and
    end. Telling everyone costs each daemon time in proportion to the whole
    fleet's requests [1]_.

    References
    ----------
    .. [1] B. Beyer and others, "Site Reliability Engineering", O'Reilly 2016,
       chapter 20 on subsetting.
    """
    if is_small_fleet(len(peers)):
        return peers
    return [
        peer
        for peer in peers
        if (peer.region == region or peer in holders)
        and (peer.runs_batch or not is_batch_only)
    ]
