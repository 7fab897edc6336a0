"""End of an upstream and the requests that may have caused it."""

__all__ = ["EndRecord", "has_request"]


class EndRecord:
    """One upstream that ended while it began to answer requests.

    Parameters
    ----------
    at : float
        Time of the end, seconds.

    Attributes
    ----------
    requests : set of tuple of int
        Keys of the requests that it had just begun to answer or had not begun
        to answer.
    fingerprints : set of int
        The keys that belong to one request alone.
    is_confirmed : bool
        False while the link of those that have seen it may be to blame.
    has_unread : bool
        True if more requests were in flight there, which it may not have read
        and whose keys are not known.
    """

    __slots__ = (
        "at",
        "requests",
        "fingerprints",
        "is_confirmed",
        "has_unread",
    )

    def __init__(self, *, at):
        self.at = at
        self.is_confirmed = False
        self.has_unread = False
        self.requests = set()
        self.fingerprints = set()


def has_request(end, keys):
    """Return whether a request with some keys was in flight at an end.

    Parameters
    ----------
    end : EndRecord
    keys : frozenset of int
    """
    return any(map(keys.issubset, end.requests))
