"""A chunk that this daemon holds."""

import collections

from twisted.internet import defer

from ..results import ItemRecord
from ..results import RecordKind

__all__ = ["HeldChunk"]


class HeldChunk:
    """Items of one claimed chunk between the store and the upstreams.

    Parameters
    ----------
    record : JobRecord
    chunk : int
    revision : int
        Of the claim in the store.
    attempt_counts : AttemptCounts
    ledger : ChunkLedger
    items : list of Item
    now : float
        Monotonic seconds.

    Attributes
    ----------
    waiting : deque of Item
        Must be noted or marked in the store before they run.
    suspects : deque of Item
        Run one at a time, for an earlier attempt was lost.
    ready : dict
        Deques of Items that may run, by model.
    running : set of Run
    buffer : list of ItemRecord
        Not in the store yet.
    writing : list of ItemRecord
        The part whose write has no certain answer yet.
    last_active_at : float
        Monotonic seconds at which an item last ran.
    flushed_at : float
        Monotonic seconds at which the buffer was last empty.
    retry_at : float
        Monotonic seconds before which the store is not asked again.
    preparing, closing, stopped : bool
    contested : bool
        Another daemon has written a part.
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
        """Job and chunk."""
        return self.record.job, self.chunk

    def add(self, item):
        """Put an item where it belongs before it runs."""
        if item.attempts and self.record.idempotent:
            self.suspects.append(item)
        elif self.needs_preparation(item):
            self.waiting.append(item)
        else:
            self.ready[item.model].append(item)

    def needs_preparation(self, item):
        """Tell whether the store must know of an item before it runs."""
        return (
            self.attempt_counts.is_takeover
            or not self.record.idempotent
            or item.attempts > 0
        )

    def requeue(self, item):
        """Let an item that was not run, or was preempted, run next."""
        self.ready[item.model].appendleft(item)

    def pop_ready(self, model):
        """Take the next item that may run, or None.

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
        """Count the items that may run, of one model or of all."""
        if model is not None:
            return len(self.ready.get(model, ()))
        return sum(len(ready) for ready in self.ready.values())

    def count_unfinished(self, model):
        """Count the items that keep an upstream of a model busy."""
        running = sum(run.item.model == model for run in self.running)
        unprepared = len(self.waiting) + len(self.suspects)
        return self.count_ready(model) + running + unprepared

    def list_done(self):
        """Return the items with a result, written or not.

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
        """Count the items without a result."""
        return len(self.items) - len(self.list_done())

    def buffer_record(self, record):
        """Keep a record for the next part."""
        self.buffer.append(record)

    def mark_started(self, item):
        """Keep the mark that an item is about to run.

        The mark names the claim, so that two holders' marks of the same
        item differ and only one of them can win.
        """
        self.buffer_record(
            ItemRecord(
                item=item.index,
                kind=RecordKind.STARTED,
                line={"claim": self.revision},
            )
        )

    def stop(self):
        """Run nothing more."""
        self.stopped = True
        self.ready.clear()
        self.waiting.clear()
        self.suspects.clear()

    def withdraw_start_marks(self):
        """Take back that items were marked as started and did not run."""
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
        """Return the failed attempts of the items without a result.

        Returns
        -------
        dict
            Attempts by item.
        """
        done = self.list_done()
        return {
            item.index: item.attempts
            for item in self.items
            if item.attempts and item.index not in done
        }
