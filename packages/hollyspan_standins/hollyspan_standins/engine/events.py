"""Cache events, delayed and with gaps."""

from collections import deque

__all__ = ["CacheEvents"]

# Events kept for later requests of readers.
MAX_EVENTS = 5000


class CacheEvents:
    """Log of prefix cache events with simulated delay and loss.

    Parameters
    ----------
    clock : IReactorTime
    random : random.Random
    lag_seconds : float
        Delay after which an event is readable.
    loss_share : float
        Share of the events that are lost.
    """

    def __init__(self, *, clock, random, lag_seconds, loss_share):
        self.clock = clock
        self.random = random
        self.lag_seconds = lag_seconds
        self.loss_share = loss_share
        self.last_number = 0
        self.events = deque(maxlen=MAX_EVENTS)

    def publish(self, kind, block):
        """Append an event, or lose it, which leaves a gap in the numbers."""
        self.last_number += 1
        if self.random.random() < self.loss_share:
            return
        event = {"seq": self.last_number, "kind": kind, "block": block}
        self.events.append((self.clock.seconds() + self.lag_seconds, event))

    def list_after(self, seq):
        """Return the readable events after a number.

        Parameters
        ----------
        seq : int
            Number of the last event that the reader has.

        Returns
        -------
        dict
            The events, and the number from which to continue.
        """
        now = self.clock.seconds()
        readable = [
            event
            for due, event in self.events
            if due <= now and event["seq"] > seq
        ]
        following = readable[-1]["seq"] if readable else seq
        return {"events": readable, "next": following}
