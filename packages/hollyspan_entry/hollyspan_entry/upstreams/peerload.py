"""Load that a peer puts on an upstream."""

__all__ = ["PeerLoad"]


class PeerLoad:
    """Requests of one peer in flight at one upstream.

    Parameters
    ----------
    online, batch : int
    sequence : int
        Of the message that told it.
    """

    __slots__ = ("online", "batch", "sequence")

    def __init__(self, *, online, batch, sequence):
        self.online = online
        self.batch = batch
        self.sequence = sequence
