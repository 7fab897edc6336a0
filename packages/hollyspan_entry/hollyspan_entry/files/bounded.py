"""Request body that is kept in memory."""

import contextlib
import io

from hollyspan_core.errors import IntakeExceededError

from ..intake import count_pieces
from ..intake.limits import CALLERS_KEPT
from ..intake.limits import FREE_BYTES

__all__ = ["BoundedBody"]


class BoundedBody(io.BytesIO):
    """Stores at most one byte more than the limit.

    The extra byte shows that the body is too large.

    Parameters
    ----------
    limit : int
        Maximum size of a body in bytes.
    sender : str
        Address of the caller.
    budget : ByteBudget, optional
        Limit on what is kept of all bodies, but for the first `FREE_BYTES`
        of each.

    Attributes
    ----------
    is_refused : bool
        True when the budget has no room for the body, which is incomplete.
    """

    def __init__(self, *, limit, sender, budget=CALLERS_KEPT):
        super().__init__()
        self.limit = limit
        self.is_refused = False
        self.account = contextlib.ExitStack()
        self.keep = self.account.enter_context(
            budget.open_account(sender=sender)
        )

    def write(self, data):
        """Store bytes received from the connection."""
        count_pieces(1)
        size = self.tell()
        data = data[: max(0, self.limit + 1 - size)]
        excess = size + len(data) - FREE_BYTES
        if excess > 0 and not self.is_refused:
            try:
                self.keep(min(len(data), excess))
            except IntakeExceededError:
                self.is_refused = True
        return 0 if self.is_refused else super().write(data)

    def close(self):
        """Drop the body."""
        self.account.close()
        super().close()
