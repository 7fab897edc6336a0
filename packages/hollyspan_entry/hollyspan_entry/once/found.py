"""Signal that an earlier copy of a request exists."""

from hollyspan_core.errors import OutcomeUnknownError

__all__ = ["EarlierCopyError"]


class EarlierCopyError(OutcomeUnknownError):
    """The store holds a record of an earlier copy.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, *, entry):
        super().__init__("an earlier copy of this request exists")
        self.entry = entry
