"""State of a daemon."""

__all__ = ["DaemonState"]


class DaemonState:
    """State of a daemon, in its own heartbeats or relayed by another daemon.

    Parameters
    ----------
    instance, data_centre, region : str
    incarnation, sequence : int
        Start time of the daemon, microseconds since the epoch, and number of
        its last heartbeat; together they order its states.
    leaving : bool
        Whether the daemon is shutting down.
    generation : int
        Generation of the configuration in force at the daemon.
    peer_address : str
    peer_port, http_port : int
    free_slots : int
        Slots free for online requests over all upstreams of the daemon's
        data centre.
    """

    __slots__ = (
        "instance",
        "data_centre",
        "region",
        "incarnation",
        "sequence",
        "leaving",
        "generation",
        "peer_address",
        "peer_port",
        "http_port",
        "free_slots",
    )

    def __init__(
        self,
        *,
        instance,
        data_centre,
        region,
        incarnation,
        sequence,
        leaving,
        generation,
        peer_address,
        peer_port,
        http_port,
        free_slots,
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.region = region
        self.incarnation = incarnation
        self.sequence = sequence
        self.leaving = leaving
        self.generation = generation
        self.peer_address = peer_address
        self.peer_port = peer_port
        self.http_port = http_port
        self.free_slots = free_slots


def write_daemon_state(remote, target):
    """Write the state of a daemon to a message builder."""
    target.instance = remote.instance
    target.dataCentre = remote.data_centre
    target.region = remote.region
    target.incarnation = remote.incarnation
    target.sequence = remote.sequence
    target.leaving = remote.leaving
    target.generation = remote.generation
    target.peerAddress = remote.peer_address
    target.peerPort = remote.peer_port
    target.httpPort = remote.http_port
    target.freeSlots = remote.free_slots


def read_daemon_state(source):
    """Return the state of a daemon from a message reader."""
    return DaemonState(
        instance=source.instance,
        data_centre=source.dataCentre,
        region=source.region,
        incarnation=source.incarnation,
        sequence=source.sequence,
        leaving=source.leaving,
        generation=source.generation,
        peer_address=source.peerAddress,
        peer_port=source.peerPort,
        http_port=source.httpPort,
        free_slots=source.freeSlots,
    )
