"""Keys that were in the same requests at each end of an upstream."""

__all__ = ["KeyGroup"]

# A request that was sent to several upstreams by itself tells less about its
# parts than different requests do: so many of its ends count against these.
MAX_ENDS_PER_REQUEST = 2
# Ends for which a request counts that was blocked by itself: two of them, or
# one and two ends of another request, are enough against a part.
ENDS_PER_BLOCKED_REQUEST = 1.5


class KeyGroup:
    """Keys that the evidence does not tell apart.

    Parameters
    ----------
    occurrences : frozenset of (cause, request)
        Cause of an end, its number or the block that explains it, and a
        request with the keys.
    keys : set of int
    fingerprints : set of int
        All keys that belong to one request alone.

    Attributes
    ----------
    causes : set
        The causes among the occurrences.
    is_request : bool
        Whether one of the keys belongs to one request alone.
    block : frozenset of int
        The keys to block: the request itself if the group has only one.
    count : float
        Number of ends that count against the keys.
    """

    __slots__ = (
        "occurrences",
        "keys",
        "causes",
        "is_request",
        "block",
        "count",
    )

    def __init__(self, *, occurrences, keys, fingerprints):
        self.occurrences = occurrences
        self.keys = keys
        self.causes = {cause for cause, _ in occurrences}
        self.is_request = bool(keys & fingerprints)
        self.block = frozenset(keys & fingerprints or keys)
        if self.is_request:
            self.count = len(self.causes)
        else:
            self.count = self.count_ends_of_part(fingerprints)

    def count_ends_of_part(self, fingerprints):
        """Return the number of ends that count against a part."""
        blocked = sum(isinstance(cause, frozenset) for cause in self.causes)
        causes = {}
        for cause, request in self.occurrences:
            if not isinstance(cause, frozenset):
                request_keys = frozenset(fingerprints.intersection(request))
                causes.setdefault(request_keys, set()).add(cause)
        by_request = sum(
            min(len(found), MAX_ENDS_PER_REQUEST) if request else len(found)
            for request, found in causes.items()
        )
        ends = min(len(self.causes) - blocked, by_request)
        return ENDS_PER_BLOCKED_REQUEST * blocked + ends
