"""Memory that the descriptions of open jobs take at a worker."""

import heapq

import eliot

from hollyspan_policy.batch import may_read_job

from .bodies import MAX_RECORD_READS

__all__ = ["JobRoom", "measure_job"]

# Objects of a job and of an item at a worker, beside their texts and parts.
JOB_OVERHEAD_BYTES = 1_500
ITEM_OVERHEAD_BYTES = 700
PART_BYTES = 48


class JobRoom:
    """Lets jobs be read while there is room for what describes them.

    Parameters
    ----------
    limit : int
        Bytes.
    clock : callable
        Returns seconds.
    is_ended : callable
        Returns whether a job, given by its identifier, takes no room once it
        is read.

    Attributes
    ----------
    held : dict
        Bytes by the identifier of an open job that has been read.
    held_bytes : int
    waiting : dict
        Callable that starts the reading of a job, by its identifier.
    order : list of (int, str)
        Heap of the jobs that wait, by the revision that created them.
    reading : set of str
        Identifiers of those that are being read.
    progress_at : float
        Time of the last progress of those that are held.
    beyond : int
        Number of jobs that were read though there was no room.
    is_short : bool
        True from the first job that waits for room to the last one.

    Notes
    -----
    The size of a job is known once it is read, so that the limit is exceeded
    by the jobs that are read at the same time.
    """

    __slots__ = (
        "limit",
        "clock",
        "is_ended",
        "held",
        "held_bytes",
        "waiting",
        "order",
        "reading",
        "progress_at",
        "beyond",
        "is_short",
        "is_starting",
    )

    def __init__(self, *, limit, clock, is_ended):
        self.limit = limit
        self.clock = clock
        self.is_ended = is_ended
        self.held = {}
        self.held_bytes = 0
        self.waiting = {}
        self.order = []
        self.reading = set()
        self.progress_at = clock()
        self.beyond = 0
        self.is_short = False
        self.is_starting = False

    def describe(self):
        """Return the bytes left, None while half of the limit is free."""
        left = self.limit - self.held_bytes
        return None if left > self.limit // 2 else max(0, left)

    def add(self, identifier, *, revision, start):
        """Add a job that is to be read in its turn, from `start_next` on.

        Parameters
        ----------
        identifier : str
        revision : int
            That which created it.
        start : callable
            Called without arguments to read it; `finish` has to follow.
        """
        self.waiting[identifier] = start
        heapq.heappush(self.order, (revision, identifier))

    def start_next(self):
        """Start reading the jobs that have room."""
        if self.is_starting:
            # A job that is read at once calls this again.
            return
        self.is_starting = True
        try:
            while self.waiting and len(self.reading) < MAX_RECORD_READS:
                identifier = self.choose_next()
                if identifier is None:
                    break
                self.reading.add(identifier)
                self.waiting.pop(identifier)()
        finally:
            self.is_starting = False
        self.note_shortage()

    def choose_next(self):
        """Return the job to be read next, None if there is no room."""
        if not self.has_room():
            return next(filter(self.is_ended, self.waiting), None)
        identifier = None
        while identifier not in self.waiting:
            # Some have been read out of turn, or are no longer stored.
            _, identifier = heapq.heappop(self.order)
        if self.held_bytes >= self.limit:
            self.beyond += 1
            self.note_progress()
            eliot.log_message(
                "job:beyond_room",
                job=identifier,
                held=self.held_bytes,
                limit=self.limit,
                waiting=len(self.waiting),
            )
        return identifier

    def note_shortage(self):
        """Log the first job that waits for room, and the end of it."""
        is_short = bool(self.waiting) and (
            self.is_short or self.held_bytes >= self.limit
        )
        if is_short != self.is_short:
            self.is_short = is_short
            eliot.log_message(
                "jobs:wait_for_room" if is_short else "jobs:have_room",
                held=self.held_bytes,
                limit=self.limit,
                waiting=len(self.waiting),
            )

    def start_if_idle(self):
        """Start reading a job beyond the limit if nothing makes progress."""
        if self.waiting and self.has_room():
            self.start_next()

    def has_room(self):
        """Return whether one more job may be read."""
        return may_read_job(
            held_bytes=self.held_bytes,
            limit=self.limit,
            idle_seconds=self.clock() - self.progress_at,
        )

    def hold(self, identifier, size):
        """Hold room for a job that has been read."""
        self.held_bytes += size - self.held.get(identifier, 0)
        self.held[identifier] = size
        self.note_progress()

    def finish(self, identifier):
        """Note that a job has been read, or could not be read."""
        self.reading.discard(identifier)
        self.start_next()

    def free(self, identifier):
        """Free the room of a job that is open no longer, or removed."""
        start = self.waiting.pop(identifier, None)
        if start is not None:
            # It finds that there is nothing to read.
            self.reading.add(identifier)
            start()
        size = self.held.pop(identifier, None)
        if size is not None:
            self.held_bytes -= size
            self.note_progress()
            self.start_next()

    def note_progress(self):
        """Note that one of the jobs that are held has made progress."""
        self.progress_at = self.clock()


def measure_job(items, *, parts=()):
    """Return the bytes that a worker keeps of an open job.

    Parameters
    ----------
    items : list of Item
    parts : list of collection, optional
        Those of each item's prompt that other requests may share.

    Returns
    -------
    int
    """
    return (
        JOB_OVERHEAD_BYTES
        + sum(
            ITEM_OVERHEAD_BYTES + len(item.identifier) + len(item.path)
            for item in items
        )
        + PART_BYTES * sum(map(len, parts))
    )
