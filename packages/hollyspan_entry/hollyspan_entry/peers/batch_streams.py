"""What peers are told of the own batch streams."""

from hollyspan_core.messages import BatchStreams

__all__ = ["ToldStreams"]

# Heartbeats that tell of the end of the last stream; one may be lost.
END_BEATS = 3


class ToldStreams:
    """Lists the batch streams that run, and their end for some beats."""

    __slots__ = ("beats",)

    def __init__(self):
        self.beats = {}

    def list(self, upstreams):
        """List what a heartbeat tells.

        Parameters
        ----------
        upstreams : iterable of Upstream

        Returns
        -------
        list of BatchStreams
        """
        found = []
        for upstream in upstreams:
            left = END_BEATS
            if not upstream.streams:
                left = self.beats.get(upstream.name, 0) - 1
            if left < 0:
                continue
            self.beats[upstream.name] = left
            found.append(
                BatchStreams(
                    upstream=upstream.name,
                    highest=upstream.highest,
                    running=sorted(upstream.streams),
                )
            )
        return found
