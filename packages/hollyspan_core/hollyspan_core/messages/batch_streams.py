"""Batch streams that one daemon runs on one upstream."""

__all__ = ["BatchStreams"]


class BatchStreams:
    """Sequence numbers of the batch streams of a daemon on an upstream.

    Parameters
    ----------
    upstream : str
    highest : int
        Number that was assigned last.
    running : sequence of int
        Numbers of the running streams.
    """

    __slots__ = ("upstream", "highest", "running")

    def __init__(self, *, upstream, highest, running):
        self.upstream = upstream
        self.highest = highest
        self.running = running


def write_batch_streams(streams, target):
    """Write batch streams to the list of a message builder."""
    for entry, builder in zip(streams, target):
        builder.upstream = entry.upstream
        builder.highest = entry.highest
        builder.running = list(entry.running)


def read_batch_streams(entries):
    """Return the batch streams in the list of a message reader."""
    return [
        BatchStreams(
            upstream=entry.upstream,
            highest=entry.highest,
            running=list(entry.running),
        )
        for entry in entries
    ]
