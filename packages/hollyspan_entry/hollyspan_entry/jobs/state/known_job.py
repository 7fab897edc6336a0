"""State of an unfinished job as known to this daemon."""

from hollyspan_policy.claims import JobView

__all__ = ["KnownJob"]

# The choice compares every chunk for every instance; more chunks would block
# the event loop for too long.
MAX_OFFERED_CHUNKS = 64


class KnownJob:
    """An unfinished job with its queue entry, record and claims.

    Parameters
    ----------
    entry : QueueEntry
    revision : int
        Revision of the queue entry in the store.

    Attributes
    ----------
    record : JobRecord or None
        Record as last read, None before the first read.
    claimed : set of int
        Chunks that were claimed when the claims were last read or claimed by
        this daemon since.
    read_at : float or None
        Monotonic seconds of the last read, None if a read is due.
    """

    __slots__ = ("entry", "revision", "record", "claimed", "read_at")

    def __init__(self, *, entry, revision):
        self.entry = entry
        self.revision = revision
        self.record = None
        self.claimed = set()
        self.read_at = None

    def build_view(self, *, is_held, start_fraction):
        """Return the view of the job that the claim policy uses.

        Parameters
        ----------
        is_held : callable
            Returns whether this daemon holds a chunk; called with the job
            and the chunk index.
        start_fraction : float
            Relative position, at least 0 and below 1, from which chunks are
            offered if there are many, so that daemons consider different
            chunks.

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
        start = int(start_fraction * max(0, len(free) - MAX_OFFERED_CHUNKS))
        return JobView(
            job=record.job,
            due=record.due,
            items_left=sum(record.items[chunk] for chunk in chunks),
            open_chunks=free[start : start + MAX_OFFERED_CHUNKS],
        )
