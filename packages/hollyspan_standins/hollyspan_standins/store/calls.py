"""Counts of the calls that the store received."""

from collections import Counter

from .pacing import is_write

__all__ = ["CallCounts", "classify_transaction"]


class CallCounts:
    """Counts of calls by kind, of bytes, and the peak calls in a second.

    Parameters
    ----------
    clock : IReactorTime
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.counts = Counter()
        self.received_bytes = 0
        self.sent_bytes = 0
        self.current_second = 0
        self.counts_in_second = {"writes": 0, "reads": 0}
        self.peak_counts = {"writes": 0, "reads": 0}

    def count(self, kind, received=0):
        """Count one call of a kind and its received bytes.

        A fault that affects a call is counted under a kind of its own.
        """
        self.counts[kind] += 1
        self.received_bytes += received

    def record_arrival(self, path):
        """Count a call towards the peak number of calls in a second."""
        current_second = int(self.clock.seconds())
        if current_second != self.current_second:
            self.current_second = current_second
            self.counts_in_second = {"writes": 0, "reads": 0}
        name = "writes" if is_write(path) else "reads"
        self.counts_in_second[name] += 1
        self.peak_counts[name] = max(
            self.peak_counts[name], self.counts_in_second[name]
        )

    def to_document(self, *, waiting):
        """Return the counts as JSON."""
        return {
            **self.counts,
            "watch_waiting": waiting,
            "received_bytes": self.received_bytes,
            "sent_bytes": self.sent_bytes,
            "busiest_second_writes": self.peak_counts["writes"],
            "busiest_second_reads": self.peak_counts["reads"],
        }


def classify_transaction(document):
    """Return the kind of a transaction by its first write on success."""
    for step in document.get("success") or []:
        if "request_put" in step:
            return "txn_put"
        if "request_delete_range" in step:
            return "txn_delete"
    return "txn_read"
