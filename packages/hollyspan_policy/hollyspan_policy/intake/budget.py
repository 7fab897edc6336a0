"""Bytes that a process keeps of messages which it has not handled yet."""

import contextlib

from hollyspan_core.errors import IntakeExceededError

__all__ = ["ByteBudget"]


class ByteBudget:
    """Limit on the bytes that all readers of a process keep together.

    Parameters
    ----------
    what : str
        What is kept, for the error.
    limit : int
        Bytes.

    Attributes
    ----------
    kept : int
        Bytes kept at present.

    Notes
    -----
    The limit on one message alone does not bound the memory of a process
    with many connections.
    """

    __slots__ = ("what", "limit", "kept")

    def __init__(self, *, what, limit):
        self.what = what
        self.limit = limit
        self.kept = 0

    @contextlib.contextmanager
    def open_account(self):
        """Keep bytes until the end of the context.

        Yields
        ------
        callable
            Called with a number of bytes before they are kept, negative for
            bytes that are no longer; raises IntakeExceededError when the
            limit is reached.
        """
        own = 0

        def keep(size):
            nonlocal own
            if size > 0 and self.kept + size > self.limit:
                raise IntakeExceededError(
                    f"{self.what} exceeds {self.limit} bytes in all"
                )
            own += size
            self.kept += size

        try:
            yield keep
        finally:
            self.kept -= own
