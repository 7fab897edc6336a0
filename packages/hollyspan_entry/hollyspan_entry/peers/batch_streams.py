"""Reports of this daemon's batch streams in heartbeats."""

from hollyspan_core.messages import BatchStreams

__all__ = ["BatchStreamReports"]

# Heartbeats that report the end of the last stream, since one may be lost.
END_HEARTBEATS = 3


class BatchStreamReports:
    """Selects the batch streams that heartbeats report.

    After the last stream of an upstream has ended, the empty list is still
    reported in `END_HEARTBEATS` heartbeats.

    Attributes
    ----------
    remaining : dict
        Number of further heartbeats that report an upstream, by name.
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
