"""Lines of an event."""

import re

__all__ = ["has_only_fields"]

# Lines that are empty, comments or fields with a name in lower case.
FIELDS_PATTERN = re.compile(rb"(?:(?:[a-z0-9_-]*:[^\n]*)?(?:\n|\Z))*+")


def has_only_fields(event):
    """Return whether each line of an event is a field or a comment.

    Parameters
    ----------
    event : bytes
        With line feeds as line ends.

    Returns
    -------
    bool

    Notes
    -----
    The format lets a reader ignore other lines. Where such a line is a part of
    another answer, what follows it is none of the stream's.

    Examples
    --------
    >>> has_only_fields(b"id: 1\\ndata: x")
    True
    >>> has_only_fields(b"HTTP/1.1 500 Error\\n\\nid: 1\\ndata: x")
    False
    """
    return FIELDS_PATTERN.fullmatch(event) is not None
