"""Cache events, late and with gaps."""

from collections import deque

__all__ = ["CacheEvents"]

# Events kept for readers that come late.
KEPT_EVENTS = 5000


class CacheEvents:
    """Events of the prefix cache as readers see them.

    Parameters
    ----------
    clock : IReactorTime
    random : random.Random
    lag_seconds : float
        An event is readable after this time.
    loss : float
        Share of the events that are never readable.
    """

    def __init__(self, *, clock, random, lag_seconds, loss):
        self.clock = clock
        self.random = random
        self.lag_seconds = lag_seconds
        self.loss = loss
        self.last = 0
        self.events = deque(maxlen=KEPT_EVENTS)

    def publish(self, kind, block):
        """Add an event, or lose it; its number is used up either way."""
        self.last += 1
        if self.random.random() < self.loss:
            return
        event = {"seq": self.last, "kind": kind, "block": block}
        self.events.append((self.clock.seconds() + self.lag_seconds, event))

    def list_after(self, seq):
        """Return the readable events after a number, and the next one."""
        now = self.clock.seconds()
        readable = [
            event
            for due, event in self.events
            if due <= now and event["seq"] > seq
        ]
        following = readable[-1]["seq"] if readable else seq
        return {"events": readable, "next": following}
