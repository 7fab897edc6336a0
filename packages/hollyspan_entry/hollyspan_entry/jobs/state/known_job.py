"""What this daemon knows of an unfinished job."""

from hollyspan_policy.claims import JobView

__all__ = ["KnownJob"]

# The choice weighs each chunk for each instance; more would hold up the loop.
MAX_OFFERED_CHUNKS = 64


class KnownJob:
    """One job of the queue.

    Parameters
    ----------
    entry : QueueEntry
    revision : int
        Of the entry in the store.

    Attributes
    ----------
    record : JobRecord or None
        As last read; None before.
    claimed : set of int
        Chunks that were claimed when the claims were last read.
    read_at : float or None
        Monotonic seconds of the last reading.
    """

    __slots__ = ("entry", "revision", "record", "claimed", "read_at")

    def __init__(self, *, entry, revision):
        self.entry = entry
        self.revision = revision
        self.record = None
        self.claimed = set()
        self.read_at = None

    def build_view(self, *, is_held, share):
        """Return what the policy sees of the job.

        Parameters
        ----------
        is_held : callable
            Tells of a job and a chunk whether this daemon holds it.
        share : float
            From 0 to below 1; where in a long list of chunks this daemon
            looks, so that daemons look at different ones.

        Returns
        -------
        JobView
        """
        record = self.record
        chunks = record.list_open_chunks()
        free = [
            chunk
            for chunk in chunks
            if chunk not in self.claimed and not is_held(record.job, chunk)
        ]
        start = int(share * max(0, len(free) - MAX_OFFERED_CHUNKS))
        return JobView(
            job=record.job,
            due=record.due,
            items_left=sum(record.items[chunk] for chunk in chunks),
            open_chunks=free[start : start + MAX_OFFERED_CHUNKS],
        )
