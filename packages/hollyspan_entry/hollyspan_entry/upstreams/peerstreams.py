"""Batch streams that a peer runs on an upstream."""

import math

__all__ = ["PeerStreams"]


class PeerStreams:
    """Batch streams of one peer at one upstream, as it told of them.

    Parameters
    ----------
    incarnation : int
        Of the peer.
    highest : int
        Last number that it had given to a stream.
    running : sequence of int

    Attributes
    ----------
    freed : float
        Monotonic seconds at which they were last cancelled from here.
    """

    __slots__ = ("incarnation", "highest", "running", "freed")

    def __init__(self, *, incarnation, highest, running):
        self.incarnation = incarnation
        self.highest = highest
        self.running = running
        self.freed = -math.inf
