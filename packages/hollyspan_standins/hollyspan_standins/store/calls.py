"""Counts of calls by kind."""

from collections import Counter

__all__ = ["Calls", "name_transaction"]


class Calls:
    """How often each kind of call came, and how many bytes."""

    def __init__(self):
        self.counts = Counter()
        self.received_bytes = 0
        self.sent_bytes = 0

    def count(self, kind, received):
        """Count one call."""
        self.counts[kind] += 1
        self.received_bytes += received

    def to_document(self, *, waiting):
        """Return the counts as JSON."""
        return {
            **self.counts,
            "watch_waiting": waiting,
            "received_bytes": self.received_bytes,
            "sent_bytes": self.sent_bytes,
        }


def name_transaction(document):
    """Return the kind of a transaction by what it would write."""
    for step in document.get("success") or []:
        if "request_put" in step:
            return "txn_put"
        if "request_delete_range" in step:
            return "txn_delete"
    return "txn_read"
