"""How connections of the HTTP client end."""

import contextlib
import contextvars

from twisted.internet import error

__all__ = ["is_clean_end", "note_end"]

CLEAN_END = contextvars.ContextVar("clean_end", default=False)


def is_clean_end():
    """Return whether a connection is ending now that was closed cleanly.

    Returns
    -------
    bool
        True only while the protocols of such a connection are told of its
        end, and False for a reset.

    Notes
    -----
    Twisted's HTTP client reports the end of a body without a length in the
    same way after a close and after a reset.
    """
    return CLEAN_END.get()


@contextlib.contextmanager
def note_end(reason):
    """Let `is_clean_end` tell how a connection ends within the context."""
    token = CLEAN_END.set(bool(reason.check(error.ConnectionDone)))
    try:
        yield
    finally:
        CLEAN_END.reset(token)
