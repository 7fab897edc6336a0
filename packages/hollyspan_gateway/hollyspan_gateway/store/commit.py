"""Outcome of a conditional write."""

__all__ = ["Commit"]


class Commit:
    """What the store says of a conditional write.

    Parameters
    ----------
    succeeded : bool
    revision : int
        Revision of the change; 0 when it was not made.
    found : dict
        Entry by key of the compared keys that exist, after a failure.
    """

    __slots__ = ("succeeded", "revision", "found")

    def __init__(self, *, succeeded, revision=0, found=None):
        self.succeeded = succeeded
        self.revision = revision
        self.found = found or {}
