"""Address of a daemon from the instance list."""

__all__ = ["Seed"]


class Seed:
    """Daemon in the instance list.

    Parameters
    ----------
    instance, data_centre : str
    address : str
    peer_port : int
        Port for peer messages over UDP and links over TCP.
    """

    __slots__ = ("instance", "data_centre", "address", "peer_port")

    def __init__(self, *, instance, data_centre, address, peer_port):
        self.instance = instance
        self.data_centre = data_centre
        self.address = address
        self.peer_port = peer_port
