"""Outcomes of conditional writes."""

__all__ = ["Commit"]


class Commit:
    """Outcome of a conditional write.

    Parameters
    ----------
    succeeded : bool
        True when the condition held and the write was made.
    revision : int
        Revision of the change; 0 when it was not made.
    found : dict
        Entry by key, for the compared keys that exist, when the condition did
        not hold.
    """

    __slots__ = ("succeeded", "revision", "found")

    def __init__(self, *, succeeded, revision=0, found=None):
        self.succeeded = succeeded
        self.revision = revision
        self.found = found or {}
