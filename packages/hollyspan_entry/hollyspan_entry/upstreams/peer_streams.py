"""Batch streams that a peer runs on an upstream."""

import math

__all__ = ["PeerStreams"]


class PeerStreams:
    """Batch streams of one peer at one upstream, as the peer reported them.

    Parameters
    ----------
    incarnation : int
        Incarnation of the peer.
    highest : int
        Last number that the peer has assigned to a stream.
    running : sequence of int
        Numbers of the running streams.

    Attributes
    ----------
    last_cancelled_at : float
        Reactor seconds at which this daemon last cancelled them.
    """

    __slots__ = ("incarnation", "highest", "running", "last_cancelled_at")

    def __init__(self, *, incarnation, highest, running):
        self.incarnation = incarnation
        self.highest = highest
        self.running = running
        self.last_cancelled_at = -math.inf
