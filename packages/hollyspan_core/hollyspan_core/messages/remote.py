"""A daemon of another data centre."""

__all__ = ["Remote"]


class Remote:
    """State of a daemon that the receiver does not hear itself.

    Parameters
    ----------
    instance, data_centre, region : str
    incarnation, sequence : int
        Order of its heartbeats.
    leaving : bool
    generation : int
        Of the configuration in force there.
    peer_address : str
    peer_port, http_port : int
    free_slots : int
        Online room over the upstreams of its data centre.
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


def write_remote(remote, target):
    """Fill a message builder with the state of a daemon."""
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


def read_remote(source):
    """Return the state of a daemon from a message reader."""
    return Remote(
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
