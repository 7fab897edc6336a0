"""Proxied link with its faults and byte counts."""

__all__ = ["Link"]

FAULT_NAMES = ("cut", "freeze", "delay_seconds", "drop_replies")


class Link:
    """Proxied link.

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
    ``cut`` closes open connections, and new ones as soon as they are accepted,
    ``freeze`` holds all data until it is reset, ``delay_seconds`` delays each
    direction, and ``drop_replies`` (a number, or true for all) closes a
    connection when its next reply arrives, after the request has been
    forwarded.
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
        """Set the faults that are present in a control request."""
        for name in FAULT_NAMES:
            if name in document:
                setattr(self, name, document[name])
        if self.cut:
            for connection in list(self.connections):
                connection.abort()
        for pipe in list(self.pipes):
            pipe.write_due()

    def consume_dropped_reply(self):
        """Return whether to drop the current reply, and count it."""
        if not self.drop_replies:
            return False
        if self.drop_replies is not True:
            self.drop_replies -= 1
        return True

    def to_document(self):
        """Return faults and counts as a JSON document."""
        return {
            "cut": self.cut,
            "freeze": self.freeze,
            "delay_seconds": self.delay_seconds,
            "drop_replies": self.drop_replies,
            "request_bytes": self.request_bytes,
            "reply_bytes": self.reply_bytes,
            "connections": len(self.connections),
        }
