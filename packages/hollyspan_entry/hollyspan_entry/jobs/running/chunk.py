"""A chunk claimed by this daemon."""

import collections

from twisted.internet import defer

from ..results import ItemRecord
from ..results import RecordKind

__all__ = ["HeldChunk"]


class HeldChunk:
    """A claimed chunk with the state of its items.

    Items move from `waiting` or `suspects` to `ready` and `running`; their
    results are buffered until they are written to the store.

    Parameters
    ----------
    record : JobRecord
    chunk : int
        Index of the chunk in its job.
    revision : int
        Revision of the claim in the store.
    attempt_counts : AttemptCounts
    ledger : ChunkLedger
    items : list of Item
    now : float
        Monotonic seconds.

    Attributes
    ----------
    waiting : deque of Item
        Items to be recorded or marked in the store before they run.
    suspects : deque of Item
        Items with a failed attempt, to be run one at a time.
    ready : dict
        Deques of Items that are ready to run, by model.
    running : set of Run
    buffer : list of ItemRecord
        Records that are not written to the store yet.
    writing : list of ItemRecord
        Records of the part whose write is not confirmed yet.
    last_active_at : float
        Monotonic seconds at which an item was last running.
    flushed_at : float
        Monotonic seconds at which the buffer was last empty.
    retry_at : float
        Monotonic seconds before which no store operation is retried.
    preparing, closing, stopped : bool
    contested : bool
        True when another daemon has written a part of the results.
    """

    __slots__ = (
        "record",
        "chunk",
        "revision",
        "attempt_counts",
        "ledger",
        "items",
        "waiting",
        "suspects",
        "ready",
        "running",
        "buffer",
        "writing",
        "lock",
        "last_active_at",
        "flushed_at",
        "retry_at",
        "preparing",
        "closing",
        "stopped",
        "contested",
    )

    def __init__(
        self, *, record, chunk, revision, attempt_counts, ledger, items, now
    ):
        self.record = record
        self.chunk = chunk
        self.revision = revision
        self.attempt_counts = attempt_counts
        self.ledger = ledger
        self.items = items
        self.waiting = collections.deque()
        self.suspects = collections.deque()
        self.ready = collections.defaultdict(collections.deque)
        self.running = set()
        self.buffer = []
        self.writing = []
        self.lock = defer.DeferredLock()
        self.last_active_at = now
        self.flushed_at = now
        self.retry_at = now
        self.preparing = False
        self.closing = False
        self.stopped = False
        self.contested = False

    @property
    def name(self):
        """Pair of the job and the chunk index."""
        return self.record.job, self.chunk

    def add(self, item):
        """Add an item to the queue for its current state."""
        if item.attempts and self.record.idempotent:
            self.suspects.append(item)
        elif self.needs_preparation(item):
            self.waiting.append(item)
        else:
            self.ready[item.model].append(item)

    def needs_preparation(self, item):
        """Return True if the store must record an item before it runs."""
        return (
            self.attempt_counts.is_takeover
            or not self.record.idempotent
            or item.attempts > 0
        )

    def requeue(self, item):
        """Return an item that did not run, or was preempted, to the front."""
        self.ready[item.model].appendleft(item)

    def pop_ready(self, model):
        """Remove and return the next ready item of a model, or None.

        Parameters
        ----------
        model : str

        Returns
        -------
        Item or None
        """
        ready = self.ready.get(model)
        return ready.popleft() if ready else None

    def count_ready(self, model=None):
        """Count the ready items of one model, or of all models."""
        if model is not None:
            return len(self.ready.get(model, ()))
        return sum(len(ready) for ready in self.ready.values())

    def count_unfinished(self, model):
        """Count the items that still have to be run for a model.

        Waiting and suspect items are counted for every model.
        """
        running = sum(run.item.model == model for run in self.running)
        unprepared = len(self.waiting) + len(self.suspects)
        return self.count_ready(model) + running + unprepared

    def list_done(self):
        """Return the items with a result, whether stored or buffered.

        Returns
        -------
        set of int
        """
        unwritten = {
            record.item
            for record in self.writing + self.buffer
            if record.is_result
        }
        return unwritten | self.ledger.done

    def count_remaining(self):
        """Count the items that have no result yet."""
        return len(self.items) - len(self.list_done())

    def buffer_record(self, record):
        """Buffer a record for the next part."""
        self.buffer.append(record)

    def mark_started(self, item):
        """Buffer a record that marks an item as started.

        The record contains the revision of the claim, so that the marks of
        two holders for the same item differ and only one can be stored.
        """
        self.buffer_record(
            ItemRecord(
                item=item.index,
                kind=RecordKind.STARTED,
                line={"claim": self.revision},
            )
        )

    def stop(self):
        """Discard all queued items and start no more."""
        self.stopped = True
        self.ready.clear()
        self.waiting.clear()
        self.suspects.clear()

    def withdraw_start_marks(self):
        """Withdraw the start marks of items that did not run."""
        started = RecordKind.STARTED
        marked = self.ledger.started | {
            record.item for record in self.writing if record.kind is started
        }
        marked -= self.list_done()
        self.buffer = [r for r in self.buffer if r.kind is not started]
        for index in sorted(marked):
            if self.items[index].stream_id is None:
                self.buffer_record(
                    ItemRecord(item=index, kind=RecordKind.WITHDRAWN)
                )

    def list_attempts(self):
        """Return the number of failed attempts of unfinished items.

        Returns
        -------
        dict
            Number of attempts by item index.
        """
        done = self.list_done()
        return {
            item.index: item.attempts
            for item in self.items
            if item.attempts and item.index not in done
        }
