"""Membership record of one daemon."""

__all__ = ["Member"]


class Member:
    """State of one daemon as of its last heartbeat.

    Parameters
    ----------
    instance, data_centre : str
    incarnation : int
        Start time of the daemon, microseconds since the epoch.
    sequence : int
        Number of the heartbeat within the incarnation.
    address : str
    peer_port, http_port : int
    leaving : bool
        Whether the daemon has announced its shutdown.
    generation : int
        Generation of the configuration in force at the daemon.
    free_slots : int
        Slots free for online requests over all upstreams of the daemon's
        data centre.
    last_seen : float
        Time of the last heartbeat, monotonic seconds.
    timeout : float, optional
        Seconds without a heartbeat after which the daemon counts as failed.
        Replaces the table's timeout for daemons whose heartbeats come less
        often than those of the same data centre.
    region : str, optional
    """

    __slots__ = (
        "instance",
        "data_centre",
        "incarnation",
        "sequence",
        "address",
        "peer_port",
        "http_port",
        "leaving",
        "generation",
        "free_slots",
        "last_seen",
        "timeout",
        "region",
    )

    def __init__(
        self,
        *,
        instance,
        data_centre,
        incarnation,
        sequence,
        address,
        peer_port,
        http_port,
        leaving,
        generation,
        free_slots,
        last_seen,
        timeout=None,
        region="",
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.sequence = sequence
        self.address = address
        self.peer_port = peer_port
        self.http_port = http_port
        self.leaving = leaving
        self.generation = generation
        self.free_slots = free_slots
        self.last_seen = last_seen
        self.timeout = timeout
        self.region = region
