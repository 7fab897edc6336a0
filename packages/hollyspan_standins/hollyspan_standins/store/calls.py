"""Counts of calls by kind."""

from collections import Counter

from .pacing import is_write

__all__ = ["Calls", "name_transaction"]


class Calls:
    """How often each kind of call came, and how many bytes.

    Parameters
    ----------
    clock : IReactorTime
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.counts = Counter()
        self.received_bytes = 0
        self.sent_bytes = 0
        self.second = 0
        self.in_second = {"writes": 0, "reads": 0}
        self.peaks = {"writes": 0, "reads": 0}

    def count(self, kind, received=0):
        """Count one call, or one thing that happened to it."""
        self.counts[kind] += 1
        self.received_bytes += received

    def note_arrival(self, path):
        """Note a call for the busiest second."""
        second = int(self.clock.seconds())
        if second != self.second:
            self.second = second
            self.in_second = {"writes": 0, "reads": 0}
        name = "writes" if is_write(path) else "reads"
        self.in_second[name] += 1
        self.peaks[name] = max(self.peaks[name], self.in_second[name])

    def to_document(self, *, waiting):
        """Return the counts as JSON."""
        return {
            **self.counts,
            "watch_waiting": waiting,
            "received_bytes": self.received_bytes,
            "sent_bytes": self.sent_bytes,
            "busiest_second_writes": self.peaks["writes"],
            "busiest_second_reads": self.peaks["reads"],
        }


def name_transaction(document):
    """Return the kind of a transaction by what it would write."""
    for step in document.get("success") or []:
        if "request_put" in step:
            return "txn_put"
        if "request_delete_range" in step:
            return "txn_delete"
    return "txn_read"
