"""Faults brought about on demand."""

__all__ = ["Faults"]


class Faults:
    """What goes wrong at present, as set by the control endpoint."""

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
        """Take over the fields that a control request names."""
        for name in self.__slots__:
            if name in document:
                setattr(self, name, document[name])

    def take_lost_reply(self, key):
        """Return whether the reply to this write is to be lost."""
        if not self.lose_replies:
            return False
        if not key.startswith(self.lose_matching.encode()):
            return False
        if self.lose_replies is not True:
            self.lose_replies -= 1
        return True

    def to_document(self):
        """Return the faults as JSON."""
        return {name: getattr(self, name) for name in self.__slots__}
