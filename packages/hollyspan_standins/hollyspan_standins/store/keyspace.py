"""Keys with their revisions and recent history."""

from bisect import bisect_left
from collections import deque

from sortedcontainers import SortedDict

from .entry import Entry
from .event import Event

__all__ = ["Keyspace", "is_in_range"]

# Events kept for watches that start at a past revision.
MAX_HISTORY_EVENTS = 50_000
# Total size of the values kept in the history.
MAX_HISTORY_BYTES = 64 * 1024 * 1024
# Range end that selects all keys from the first one on.
UNBOUNDED_END = b"\0"


def is_in_range(key, first, end):
    """Return whether a key lies in the range of a request."""
    if not end:
        return key == first
    if key < first:
        return False
    return end == UNBOUNDED_END or key < end


class Keyspace:
    """All keys, with one revision counter for the whole store.

    Parameters
    ----------
    on_change : callable
        Called without arguments after each revision.
    """

    def __init__(self, *, on_change=lambda: None):
        self.revision = 1
        self.compacted_revision = 0
        self.entries = SortedDict()
        self.history = deque()
        self.history_bytes = 0
        self.on_change = on_change

    def get(self, key):
        """Return the entry of a key, or None."""
        return self.entries.get(key)

    def list_range(self, first, end):
        """Return the entries of a range, sorted by key."""
        if not end:
            entry = self.entries.get(first)
            return [entry] if entry else []
        last = None if end == UNBOUNDED_END else end
        keys = self.entries.irange(first, last, inclusive=(True, False))
        return [self.entries[key] for key in keys]

    def put(self, key, value, lease):
        """Write a key and return its previous entry, or None."""
        self.revision += 1
        previous = self.entries.get(key)
        created = previous.create_revision if previous else self.revision
        entry = Entry(
            key=key,
            value=value,
            create_revision=created,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        self.entries[key] = entry
        self._append_history([Event(is_delete=False, entry=entry)])
        return previous

    def delete(self, keys):
        """Delete keys in one revision and return the deleted entries."""
        present = [key for key in keys if key in self.entries]
        if not present:
            return []
        self.revision += 1
        deleted = [self.entries.pop(key) for key in present]
        self._append_history(
            [
                Event(is_delete=True, entry=self._tombstone(key))
                for key in present
            ]
        )
        return deleted

    def list_events(self, start, first, end):
        """Return the events of a range from a revision on."""
        revisions = _RevisionView(self.history)
        index = bisect_left(revisions, start)
        found = []
        for position in range(index, len(self.history)):
            event = self.history[position]
            if is_in_range(event.entry.key, first, end):
                found.append(event)
        return found

    def _tombstone(self, key):
        return Entry(
            key=key,
            value=b"",
            create_revision=0,
            mod_revision=self.revision,
            version=0,
            lease=0,
        )

    def _append_history(self, events):
        for event in events:
            self.history.append(event)
            self.history_bytes += len(event.entry.value)
        while (
            len(self.history) > MAX_HISTORY_EVENTS
            or self.history_bytes > MAX_HISTORY_BYTES
        ):
            oldest = self.history.popleft()
            self.history_bytes -= len(oldest.entry.value)
            self.compacted_revision = oldest.entry.mod_revision
        self.on_change()


class _RevisionView:
    """Sequence of the revisions in the history, for bisection."""

    def __init__(self, history):
        self.history = history

    def __len__(self):
        return len(self.history)

    def __getitem__(self, index):
        return self.history[index].entry.mod_revision
