"""What the store answers."""

__all__ = ["Entry", "Page", "TOKEN_BYTES"]

# Length of the random token in front of each value, which names its write.
TOKEN_BYTES = 16


class Entry:
    """One key with its value.

    Parameters
    ----------
    key : str
    content : bytes
        The value without the writer's token.
    token : bytes
        16 bytes, chosen by the writer.
    revision : int
        Revision of the last change; 0 in an event for a deleted key.
    lease : int
        Lease that the key is bound to, 0 for none.
    created : int, optional
        Revision of the key's creation, 0 where the store does not tell it.
    """

    __slots__ = ("key", "content", "token", "revision", "lease", "created")

    def __init__(self, *, key, content, token, revision, lease, created=0):
        self.key = key
        self.content = content
        self.token = token
        self.revision = revision
        self.lease = lease
        self.created = created


class Page:
    """Some keys of a range.

    Parameters
    ----------
    entries : list of Entry
        In order of their keys.
    more : bool
        True when the range holds more keys.
    revision : int
        Revision of the store at the time of the answer.
    """

    __slots__ = ("entries", "more", "revision")

    def __init__(self, *, entries, more, revision):
        self.entries = entries
        self.more = more
        self.revision = revision
