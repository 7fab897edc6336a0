"""What this daemon knows of an unfinished job."""

from hollyspan_policy.claims import JobView

__all__ = ["KnownJob"]


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

    def build_view(self, *, is_held):
        """Return what the policy sees of the job.

        Parameters
        ----------
        is_held : callable
            Tells of a job and a chunk whether this daemon holds it.

        Returns
        -------
        JobView
        """
        record = self.record
        chunks = record.list_open_chunks()
        return JobView(
            job=record.job,
            due=record.due,
            items_left=sum(record.items[chunk] for chunk in chunks),
            open_chunks=[
                chunk
                for chunk in chunks
                if chunk not in self.claimed and not is_held(record.job, chunk)
            ],
        )
