"""Counters of the traffic between daemons."""

__all__ = ["PeerCounters"]


class PeerCounters:
    """Counters of messages and bytes of one daemon since its start.

    Attributes
    ----------
    sent, received : int
        Datagrams.
    sent_bytes, received_bytes : int
        Bytes of datagrams and frames.
    foreign : int
        Messages with a wrong digest.
    damaged : int
        Messages that cannot be decoded.
    unsent : int
        Datagrams that the operating system refused to send.
    forwarded : dict
        Bytes of forwarded requests and their answers, by RegionPair.
    """

    __slots__ = (
        "sent",
        "received",
        "sent_bytes",
        "received_bytes",
        "foreign",
        "damaged",
        "unsent",
        "forwarded",
    )

    def __init__(self):
        self.sent = 0
        self.received = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.foreign = 0
        self.damaged = 0
        self.unsent = 0
        self.forwarded = {}

    def count_forwarded(self, pair, size):
        """Count bytes of forwarded traffic between two regions.

        Parameters
        ----------
        pair : RegionPair
        size : int
            Bytes.
        """
        self.forwarded[pair] = self.forwarded.get(pair, 0) + size

    def to_json(self):
        """Return the counters as a JSON object."""
        plain = [n for n in self.__slots__ if n != "forwarded"]
        counts = {name: getattr(self, name) for name in plain}
        counts["forwarded"] = [
            {"source": p.source, "destination": p.destination, "bytes": size}
            for p, size in self.forwarded.items()
        ]
        return counts
