"""Change event of a key."""

__all__ = ["Event"]


class Event:
    """Put or delete of a key, as sent to watches."""

    __slots__ = ("is_delete", "entry")

    def __init__(self, *, is_delete, entry):
        self.is_delete = is_delete
        self.entry = entry
