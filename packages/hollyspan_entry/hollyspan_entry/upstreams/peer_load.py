"""Load of a peer on an upstream."""

__all__ = ["PeerLoad"]


class PeerLoad:
    """Requests of one peer in flight at one upstream.

    Parameters
    ----------
    online, batch : int
        Number of online requests and of batch streams.
    sequence : int
        Sequence number of the message that reported them.
    """

    __slots__ = ("online", "batch", "sequence")

    def __init__(self, *, online, batch, sequence):
        self.online = online
        self.batch = batch
        self.sequence = sequence
