"""Reports of this daemon's batch streams in heartbeats."""

from hollyspan_core.messages import BatchStreams

__all__ = ["BatchStreamReports"]

# Heartbeats that report the end of the last stream, since one may be lost.
END_HEARTBEATS = 3


class BatchStreamReports:
    """List running batch streams, and their end for some heartbeats.

    Attributes
    ----------
    remaining : dict
        Number of heartbeats still to report an upstream, by name.
    """

    __slots__ = ("remaining",)

    def __init__(self):
        self.remaining = {}

    def list(self, upstreams):
        """List the batch streams that the next heartbeat reports.

        Parameters
        ----------
        upstreams : iterable of Upstream

        Returns
        -------
        list of BatchStreams
        """
        reports = []
        for upstream in upstreams:
            remaining = END_HEARTBEATS
            if not upstream.streams:
                remaining = self.remaining.get(upstream.name, 0) - 1
            if remaining < 0:
                continue
            self.remaining[upstream.name] = remaining
            reports.append(
                BatchStreams(
                    upstream=upstream.name,
                    highest=upstream.highest,
                    running=sorted(upstream.streams),
                )
            )
        return reports
