"""What is known of the online work at one upstream."""

from ..hidden import HiddenStreams

__all__ = ["OnlineLoad"]

REPORT_STALE_SECONDS = 3.0


class OnlineLoad:
    """Online requests at an upstream, as told and as reported.

    Attributes
    ----------
    told : int
        Requests in flight from all daemons heard.
    hidden : HiddenStreams
        Streams in the load reports that nobody heard has told of.
    peers_heard : bool
        False while daemons that the platform lists are silent.
    reported : float or None
        Monotonic seconds of the last load report.
    """

    __slots__ = ("told", "hidden", "peers_heard", "reported")

    def __init__(self):
        self.told = 0
        self.hidden = HiddenStreams()
        self.peers_heard = True
        self.reported = None

    def observe_report(self, *, running, waiting, batch, now):
        """Take in the upstream's load report.

        Parameters
        ----------
        running, waiting : int
            Streams of all kinds, as reported.
        batch : int
            Batch streams that the owner knows of.
        now : float
            Monotonic seconds.
        """
        self.reported = now
        self.hidden.observe(running + waiting - batch - self.told)

    def count(self):
        """Count the requests that hold slots.

        Returns
        -------
        int
            Told counts are fresher than a report. While the peers are
            heard only streams that several reports show are added.
        """
        if self.peers_heard:
            return self.told + self.hidden.count()
        return self.told + self.hidden.count_last()

    def is_unknown(self, *, now):
        """Return whether neither peers nor the load report can be used.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if self.peers_heard:
            return False
        if self.reported is None:
            return True
        return now - self.reported > REPORT_STALE_SECONDS
