"""Recipients and intervals of load messages by size of the fleet."""

__all__ = [
    "choose_load_recipients",
    "choose_heartbeat_recipients",
    "choose_heartbeat_interval",
    "choose_coalescing_delay",
    "count_heartbeats_per_round",
    "is_small_fleet",
]

# Heartbeat interval of a small fleet.
MIN_HEARTBEAT_INTERVAL_S = 0.3
# Heartbeat interval of a large fleet. A daemon that misses three heartbeats is
# replaced within the run time of one batch item.
MAX_HEARTBEAT_INTERVAL_S = 1.0
# Up to this number of live daemons, each receives every heartbeat of all
# others at the shortest interval, and every change of load: some hundred
# datagrams a second, 1% of a core.
SMALL_FLEET_MAX_DAEMONS = 24
# Heartbeats of a large fleet among which each daemon receives one. At one
# heartbeat a second, each daemon still receives heartbeats from a quarter of
# the others every second, so state that any of them holds spreads as fast.
HEARTBEATS_PER_ROUND = 4
# Time for which changes of load are coalesced into one message: far below the
# time in which an online request's first event is due. In a large fleet it
# covers both the start of a request and the load report that comes with its
# first event.
COALESCING_DELAY_S = 0.008
LARGE_FLEET_COALESCING_DELAY_S = 0.025


def choose_heartbeat_interval(live):
    """Choose the heartbeat interval.

    Parameters
    ----------
    live : int
        Number of live daemons.

    Returns
    -------
    float
        Seconds. The interval grows with the number of daemons, so that the
        number of datagrams that each receives per second does not.

    Examples
    --------
    >>> choose_heartbeat_interval(10), choose_heartbeat_interval(48)
    (0.3, 0.6)
    """
    interval = MIN_HEARTBEAT_INTERVAL_S * live / SMALL_FLEET_MAX_DAEMONS
    return min(
        MAX_HEARTBEAT_INTERVAL_S, max(MIN_HEARTBEAT_INTERVAL_S, interval)
    )


def count_heartbeats_per_round(live):
    """Count the heartbeats among which each daemon receives one.

    Parameters
    ----------
    live : int
        Number of live daemons.

    Returns
    -------
    int

    Examples
    --------
    >>> count_heartbeats_per_round(10), count_heartbeats_per_round(80)
    (1, 4)
    """
    return 1 if is_small_fleet(live) else HEARTBEATS_PER_ROUND


def choose_heartbeat_recipients(
    peers, *, key, heartbeat_number, heartbeats_per_round, runs_batch
):
    """Choose the recipients of a heartbeat.

    Parameters
    ----------
    peers : iterable
        Live daemons, with the attributes `key` and `runs_batch`.
    key : int
        Key of the sender.
    heartbeat_number : int
        Number of the heartbeat.
    heartbeats_per_round : int
        Heartbeats among which each daemon receives one.
    runs_batch : bool
        Whether the sender runs batch work.

    Returns
    -------
    list
        The peers whose turn it is; these differ between senders. Daemons
        that run batch work exchange every heartbeat, since they take over
        each other's items.

    Notes
    -----
    Load pattern: 80 daemons that each send a message to all others every
    second spend more time on these messages than on their requests. The
    rounds are those of a gossip protocol [1]_ with a fixed order in place of
    a random one, which bounds the time between two messages of a pair.

    References
    ----------
    .. [1] A. Demers and others, "Epidemic algorithms for replicated database
       maintenance", PODC 1987.
    """
    return [
        peer
        for peer in peers
        if (peer.key + key + heartbeat_number) % heartbeats_per_round == 0
        or (runs_batch and peer.runs_batch)
    ]


def is_small_fleet(live):
    """Return whether each change of load is sent to all daemons at once.

    Parameters
    ----------
    live : int
        Number of live daemons.

    Returns
    -------
    bool
    """
    return live <= SMALL_FLEET_MAX_DAEMONS


def choose_coalescing_delay(live):
    """Choose the time for which changes of load are coalesced.

    Parameters
    ----------
    live : int
        Number of live daemons.

    Returns
    -------
    float
        Seconds.
    """
    return (
        COALESCING_DELAY_S
        if is_small_fleet(live)
        else LARGE_FLEET_COALESCING_DELAY_S
    )


def choose_load_recipients(peers, *, region, holders, is_batch_only=False):
    """Choose the immediate recipients of a change of load.

    Parameters
    ----------
    peers : list
        Live daemons, with the attributes `region` and `runs_batch`.
    region : object
        Region of the upstream.
    holders : collection
        Peers with batch work at the upstream.
    is_batch_only : bool, optional
        Whether only batch work has changed, which yields to online requests
        wherever these are sent.

    Returns
    -------
    list
        All peers of a small fleet. In a large fleet, the peers in the
        upstream's region, which send most of its requests, and the peers
        whose batch work may have to yield there; the others receive the
        change with the next heartbeat. In a large fleet, changes of batch work
        alone are sent only to those of these peers that run batch work.

    Notes
    -----
    Load pattern: 80 daemons, each with some requests a second that begin and
    end. Sending every change to every daemon costs each of them time in
    proportion to the requests of the whole fleet [1]_.

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
