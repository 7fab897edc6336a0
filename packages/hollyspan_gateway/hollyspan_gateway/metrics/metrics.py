"""Counters and latencies of one gateway."""

import collections

__all__ = ["Metrics"]

# Observations that are kept until the instruments exist.
MAX_EARLY = 1000
# Labels of sends beside the codes of failures.
WHOLE = "whole"
# Kind of a request whose route is not known.
NO_ROUTE = "none"
RESUMED = "resumed"


class Metrics:
    """Takes what is counted and timed.

    Attributes
    ----------
    requests : collections.Counter
        Requests by outcome and kind of route.
    sends : collections.Counter
        Sends of requests to upstreams by how they ended; `RESUMED` counts
        those among them that went on in the middle of a stream.
    events : int
        Events passed on to clients.
    items : collections.Counter
        Items by what became of them.
    early : collections.deque
        Times from before the instruments were created.
    times : dict
        Histogram by name, empty until they are created.

    Notes
    -----
    The library for metrics takes long to import, so the instruments are
    created once the process listens (`create_instruments`).
    """

    def __init__(self):
        self.requests = collections.Counter()
        self.sends = collections.Counter()
        self.events = 0
        self.items = collections.Counter()
        self.early = collections.deque(maxlen=MAX_EARLY)
        self.times = {}

    def count_request(self, outcome, *, kind=NO_ROUTE):
        """Count a request by its outcome and the kind of its route."""
        self.requests[outcome, kind] += 1

    def count_send(self, failure, *, is_resumed):
        """Count a send to an upstream.

        Parameters
        ----------
        failure : HollyspanError or None
            Why it brought no whole answer.
        is_resumed : bool
            True when the stream had begun before.
        """
        self.sends[WHOLE if failure is None else failure.code] += 1
        if is_resumed:
            self.sends[RESUMED] += 1

    def count_item(self, state):
        """Count an item by what became of it."""
        self.items[state] += 1

    def record(self, name, seconds):
        """Record a time.

        Parameters
        ----------
        name : str
            ``first_event``, ``pause``, ``held``, ``request``, ``run``,
            ``lag``, ``report_age`` or ``lateness``.
        seconds : float
        """
        histogram = self.times.get(name)
        if histogram is None:
            self.early.append((name, seconds))
        else:
            histogram.record(seconds)
