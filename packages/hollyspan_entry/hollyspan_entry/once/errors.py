"""Error for a request of which an earlier copy exists."""

from hollyspan_core.errors import OutcomeUnknownError

__all__ = ["EarlierCopyError"]


class EarlierCopyError(OutcomeUnknownError):
    """The store holds a record of an earlier copy.

    Parameters
    ----------
    entry : Entry
        Stored record of the earlier copy.
    """

    def __init__(self, *, entry):
        super().__init__("an earlier copy of this request exists")
        self.entry = entry
