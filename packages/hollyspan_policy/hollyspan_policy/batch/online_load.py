"""Online load of one upstream."""

from ..hidden import HiddenStreams

__all__ = ["OnlineLoad"]

REPORT_STALE_AFTER_S = 3.0


class OnlineLoad:
    """Online requests at an upstream, as announced and as reported.

    Attributes
    ----------
    announced : int
        Requests in flight, as announced by all live daemons.
    hidden : HiddenStreams
        Streams in the load reports that no live daemon has announced.
    peers_live : bool
        False while any daemon that the platform lists is silent.
    reported_at : float or None
        Time of the last load report, monotonic seconds.
    """

    __slots__ = ("announced", "hidden", "peers_live", "reported_at")

    def __init__(self):
        self.announced = 0
        self.hidden = HiddenStreams()
        self.peers_live = True
        self.reported_at = None

    def observe_report(self, *, running, waiting, batch, now):
        """Record a load report of the upstream.

        Parameters
        ----------
        running, waiting : int
            Reported streams, online and batch.
        batch : int
            Batch streams known to the owner.
        now : float
            Monotonic seconds.
        """
        self.reported_at = now
        self.hidden.observe(running + waiting - batch - self.announced)

    def count(self):
        """Count the online requests that occupy slots.

        Returns
        -------
        int
            Announced counts are more recent than a load report. While all
            peers are live, only streams that several reports show are
            added to them.
        """
        if self.peers_live:
            return self.announced + self.hidden.count()
        return self.announced + self.hidden.count_last()

    def is_unknown(self, *, now):
        """Return whether neither peers nor load reports provide a count.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if self.peers_live:
            return False
        if self.reported_at is None:
            return True
        return now - self.reported_at > REPORT_STALE_AFTER_S
