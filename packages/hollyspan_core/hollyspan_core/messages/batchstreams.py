"""Batch streams of one daemon on one upstream."""

__all__ = ["BatchStreams"]


class BatchStreams:
    """Numbers of the batch streams that a daemon runs on an upstream.

    Parameters
    ----------
    upstream : str
    highest : int
        Last number that was given to a stream.
    running : sequence of int
    """

    __slots__ = ("upstream", "highest", "running")

    def __init__(self, *, upstream, highest, running):
        self.upstream = upstream
        self.highest = highest
        self.running = running


def write_batch_streams(streams, target):
    """Fill the list of a message builder."""
    for entry, builder in zip(streams, target):
        builder.upstream = entry.upstream
        builder.highest = entry.highest
        builder.running = list(entry.running)


def read_batch_streams(entries):
    """Return the list of a message reader as plain objects."""
    return [
        BatchStreams(
            upstream=entry.upstream,
            highest=entry.highest,
            running=list(entry.running),
        )
        for entry in entries
    ]
