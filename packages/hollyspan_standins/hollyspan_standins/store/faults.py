"""Injected faults of the store."""

__all__ = ["Faults"]


class Faults:
    """Faults in effect, set by the control endpoint.

    Attributes
    ----------
    outage : bool
        Whether all calls are dropped.
    delay_seconds, reply_delay_seconds : float
        Delay of each call before and after it is executed.
    lose_replies : int or bool
        Number of replies to writes that are dropped; True drops all.
    lose_matching : str
        Prefix of the keys whose replies are dropped.
    silent_watches : bool
        Whether open watches receive no events.
    """

    __slots__ = (
        "outage",
        "delay_seconds",
        "reply_delay_seconds",
        "lose_replies",
        "lose_matching",
        "silent_watches",
    )

    def __init__(self):
        self.outage = False
        self.delay_seconds = 0.0
        self.reply_delay_seconds = 0.0
        self.lose_replies = 0
        self.lose_matching = ""
        self.silent_watches = False

    def update(self, document):
        """Set the fields that are present in a control request."""
        for name in self.__slots__:
            if name in document:
                setattr(self, name, document[name])

    def consume_lost_reply(self, key):
        """Return whether to drop the reply to a write, and count it."""
        if not self.lose_replies:
            return False
        if not key.startswith(self.lose_matching.encode()):
            return False
        if self.lose_replies is not True:
            self.lose_replies -= 1
        return True

    def to_document(self):
        """Return the faults as a JSON document."""
        return {name: getattr(self, name) for name in self.__slots__}
