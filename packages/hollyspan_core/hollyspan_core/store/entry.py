"""Entries and pages that the store returns."""

__all__ = ["Entry", "Page", "TOKEN_BYTES"]

# Each value begins with a random token that identifies the write.
TOKEN_BYTES = 16


class Entry:
    """One key with its value.

    Parameters
    ----------
    key : str
    content : bytes
        The value without the writer's token.
    token : bytes
        Random bytes that identify the write, chosen by the writer.
    revision : int
        Revision of the last change; 0 in an event for a deleted key.
    lease : int
        Lease that the key is attached to, 0 for none.
    created_revision : int, optional
        Revision of the key's creation, 0 if the store does not report it.
    """

    __slots__ = (
        "key",
        "content",
        "token",
        "revision",
        "lease",
        "created_revision",
    )

    def __init__(
        self, *, key, content, token, revision, lease, created_revision=0
    ):
        self.key = key
        self.content = content
        self.token = token
        self.revision = revision
        self.lease = lease
        self.created_revision = created_revision


class Page:
    """Part of the entries of a range.

    Parameters
    ----------
    entries : list of Entry
        Ordered by key.
    has_more : bool
        True if the range contains more keys.
    revision : int
        Revision of the store at the time of the answer.
    changed_revision : int, optional
        Revision of the last change in the range, deletions included; 0 when
        the answer does not tell it.
    confirmed_age : float or None, optional
        Seconds for which a peer that sends the page has not known whether
        there are newer entries; None if it does not tell.
    """

    __slots__ = (
        "entries",
        "has_more",
        "revision",
        "changed_revision",
        "confirmed_age",
    )

    def __init__(
        self,
        *,
        entries,
        has_more,
        revision,
        changed_revision=0,
        confirmed_age=None,
    ):
        self.entries = entries
        self.has_more = has_more
        self.revision = revision
        self.changed_revision = changed_revision
        self.confirmed_age = confirmed_age
