"""One proxied link: its faults and its counts."""

__all__ = ["Link"]

FAULTS = ("cut", "freeze", "delay_seconds", "drop_replies")


class Link:
    """State of a link.

    Parameters
    ----------
    name : str
    host : str
        Address of the target.
    target : int
        Port of the target.
    reactor : IReactorTime and IReactorUDP

    Notes
    -----
    ``cut`` closes all connections and refuses new ones, ``freeze`` holds
    everything back until it is lifted, ``delay_seconds`` delays each way,
    ``drop_replies`` (a number, or true) closes a connection when its next
    reply comes, after the request has passed.
    """

    def __init__(self, *, name, host, target, reactor):
        self.name = name
        self.host = host
        self.target = target
        self.reactor = reactor
        self.cut = False
        self.freeze = False
        self.delay_seconds = 0.0
        self.drop_replies = 0
        self.request_bytes = 0
        self.reply_bytes = 0
        self.connections = set()
        self.pipes = set()

    def update(self, document):
        """Take over the faults that a control request names."""
        for name in FAULTS:
            if name in document:
                setattr(self, name, document[name])
        if self.cut:
            for connection in list(self.connections):
                connection.abort()
        for pipe in list(self.pipes):
            pipe.pump()

    def take_dropped_reply(self):
        """Return whether the reply at hand is to be lost."""
        if not self.drop_replies:
            return False
        if self.drop_replies is not True:
            self.drop_replies -= 1
        return True

    def to_document(self):
        """Return faults and counts as JSON."""
        return {
            "cut": self.cut,
            "freeze": self.freeze,
            "delay_seconds": self.delay_seconds,
            "drop_replies": self.drop_replies,
            "request_bytes": self.request_bytes,
            "reply_bytes": self.reply_bytes,
            "connections": len(self.connections),
        }
