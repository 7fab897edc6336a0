"""One change of a key."""

__all__ = ["Event"]


class Event:
    """A put or a delete, as watches tell it."""

    __slots__ = ("is_delete", "entry")

    def __init__(self, *, is_delete, entry):
        self.is_delete = is_delete
        self.entry = entry
