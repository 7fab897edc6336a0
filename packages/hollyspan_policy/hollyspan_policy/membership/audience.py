"""Who is told of load, and how often, as the fleet grows."""

__all__ = [
    "choose_audience",
    "choose_beat_audience",
    "choose_beat_seconds",
    "choose_gathering",
    "count_round_beats",
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
# Heartbeats of a large fleet in which each daemon is told once. With one a
# second each daemon still hears from a quarter of the others in a second, so
# that news that any of them has spreads as fast.
ROUND_BEATS = 4
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


def count_round_beats(live):
    """Count the heartbeats in which each daemon is told once.

    Parameters
    ----------
    live : int
        Daemons that are heard.

    Returns
    -------
    int

    Examples
    --------
    >>> count_round_beats(10), count_round_beats(80)
    (1, 4)
    """
    return 1 if is_small_fleet(live) else ROUND_BEATS


def choose_beat_audience(peers, *, key, beat, rounds, runs_batch):
    """Choose the daemons that a heartbeat goes to.

    Parameters
    ----------
    peers : iterable
        Daemons, with a `key` and `runs_batch`.
    key : int
        Of the daemon that sends.
    beat : int
        Number of the heartbeat.
    rounds : int
        Heartbeats in which each daemon is told once.
    runs_batch : bool
        Whether the sender runs batch work.

    Returns
    -------
    list
        Those whose turn it is, which differ from sender to sender. Daemons
        that run batch work hear each other with every heartbeat, since they
        take each other's items over.

    Notes
    -----
    Load pattern: 80 daemons that all tell each other each second take more
    time for that than for their requests. Rounds are those of a gossip
    protocol [1]_ with a fixed order in place of a random one, so that the time
    between two messages of a pair is bounded.

    References
    ----------
    .. [1] A. Demers and others, "Epidemic algorithms for replicated database
       maintenance", PODC 1987.
    """
    return [
        peer
        for peer in peers
        if (peer.key + key + beat) % rounds == 0
        or (runs_batch and peer.runs_batch)
    ]


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
