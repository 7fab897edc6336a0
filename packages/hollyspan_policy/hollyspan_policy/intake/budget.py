"""Bytes that a process keeps of messages which it has not handled yet."""

import contextlib

from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.errors import IntakeFullError

__all__ = ["ByteBudget"]


class ByteBudget:
    """Limit on the bytes that all readers of a process keep together.

    Parameters
    ----------
    what : str
        What is kept, for the error.
    limit : int
        Bytes.
    sender_limit : int, optional
        Bytes kept of one sender; by default `limit`.

    Attributes
    ----------
    kept : int
        Bytes kept at present.
    kept_by_sender : dict
        Bytes kept at present of each sender that is known.

    Notes
    -----
    The limit on one message alone does not bound the memory of a process
    with many connections.
    """

    __slots__ = ("what", "limit", "sender_limit", "kept", "kept_by_sender")

    def __init__(self, *, what, limit, sender_limit=None):
        self.what = what
        self.limit = limit
        self.sender_limit = limit if sender_limit is None else sender_limit
        self.kept = 0
        self.kept_by_sender = {}

    @contextlib.contextmanager
    def open_account(self, *, sender=None):
        """Keep bytes until the end of the context.

        Parameters
        ----------
        sender : hashable, optional
            Program that the bytes come from.

        Yields
        ------
        callable
            Called with a number of bytes before they are kept, negative for
            bytes that are no longer; raises IntakeFullError when the limit
            is reached, IntakeExceededError when that of the sender is.
        """
        own = 0

        def keep(size):
            nonlocal own
            self.change(sender, size)
            own += size

        try:
            yield keep
        finally:
            self.change(sender, -own)

    def change(self, sender, size):
        """Keep more bytes of a sender, or fewer if the size is negative."""
        kept_of_sender = self.kept_by_sender.get(sender, 0) + size
        if size > 0 and self.kept + size > self.limit:
            raise IntakeFullError(
                f"{self.what} exceeds {self.limit} bytes in all"
            )
        if size > 0 and sender is not None:
            if kept_of_sender > self.sender_limit:
                raise IntakeExceededError(
                    f"{self.what} exceeds {self.sender_limit} bytes "
                    "of one sender"
                )
        self.kept += size
        if sender is not None and kept_of_sender:
            self.kept_by_sender[sender] = kept_of_sender
        else:
            self.kept_by_sender.pop(sender, None)
