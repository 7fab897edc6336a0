"""Counters and timings of one gateway."""

import collections

__all__ = ["Metrics"]

# Limit on the recorded times that are buffered until the instruments exist.
MAX_PENDING_TIMES = 1000
# Label of a send with a complete answer; a failed send has the error's code.
WHOLE = "whole"
# Label of a request without a route.
NO_ROUTE = "none"
# Additional label of a send that resumed a stream.
RESUMED = "resumed"


class Metrics:
    """Collects counts and times.

    Attributes
    ----------
    requests : collections.Counter
        Requests by outcome and kind of route.
    sends : collections.Counter
        Sends of requests to upstreams by result; `RESUMED` additionally
        counts those that resumed a stream.
    events : int
        Number of events forwarded to clients.
    items : collections.Counter
        Items by state: ``done``, ``given_up`` or ``preempted``.
    refusals : collections.Counter
        Requests of workspaces refused for lack of room, by reason.
    pending_times : collections.deque
        Times recorded before the instruments were created.
    histograms : dict
        Histograms by name, empty until they are created.

    Notes
    -----
    The metrics library takes long to import, so the instruments are created
    by the first scrape (`create_instruments`). Counters include all that came
    before, histograms the newest times.
    """

    def __init__(self):
        self.requests = collections.Counter()
        self.sends = collections.Counter()
        self.events = 0
        self.items = collections.Counter()
        self.refusals = collections.Counter()
        self.pending_times = collections.deque(maxlen=MAX_PENDING_TIMES)
        self.histograms = {}

    def count_request(self, outcome, *, kind=NO_ROUTE):
        """Count a request by its outcome and the kind of its route."""
        self.requests[outcome, kind] += 1

    def count_send(self, error, *, is_resumed):
        """Count a send to an upstream.

        Parameters
        ----------
        error : HollyspanError or None
            Reason why no complete answer arrived; None if one did.
        is_resumed : bool
            True when the send resumed a stream.
        """
        self.sends[WHOLE if error is None else error.code] += 1
        if is_resumed:
            self.sends[RESUMED] += 1

    def count_refusal(self, reason):
        """Count a request of a workspace refused for lack of room.

        Parameters
        ----------
        reason : str
            ``over_share`` or ``held``.
        """
        self.refusals[reason] += 1

    def count_item(self, state):
        """Count an item that reached a state."""
        self.items[state] += 1

    def record(self, name, seconds):
        """Record a duration.

        Parameters
        ----------
        name : str
            ``first_event``, ``pause``, ``held``, ``request``, ``run``,
            ``lag``, ``report_age`` or ``lateness``.
        seconds : float
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            self.pending_times.append((name, seconds))
        else:
            histogram.record(seconds)
