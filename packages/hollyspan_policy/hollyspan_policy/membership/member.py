"""One daemon as known to another."""

__all__ = ["Member"]


class Member:
    """State of one daemon, from its last heartbeat.

    Parameters
    ----------
    instance, data_centre : str
    incarnation : int
        Start time, microseconds since the epoch.
    sequence : int
        Number of the heartbeat within the incarnation.
    address : str
    peer_port, http_port : int
    leaving : bool
    generation : int
        Of the configuration in force there.
    free_slots : int
        Online room over the upstreams of its data centre.
    heard : float
        Monotonic seconds of the last heartbeat.
    timeout : float, optional
        Seconds of silence after which it counts as failed, where it is heard
        less often than the daemons of the own data centre.
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
        "heard",
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
        heard,
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
        self.heard = heard
        self.timeout = timeout
        self.region = region
