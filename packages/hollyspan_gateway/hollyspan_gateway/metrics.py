"""Counters and latencies of one gateway."""

__all__ = ["Metrics"]


class Metrics:
    """Counts what happens to requests and items."""

    def __init__(self):
        self.requests = {}
        self.items = {}

    def count_request(self, outcome):
        """Count a request by its outcome."""
        self.requests[outcome] = self.requests.get(outcome, 0) + 1

    def count_item(self, state):
        """Count an item by what became of it."""
        self.items[state] = self.items.get(state, 0) + 1

    def record_first_event(self, seconds):
        """Record the time from a request to the first byte of its answer."""
