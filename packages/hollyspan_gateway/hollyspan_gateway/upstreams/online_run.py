"""A run of an online request at an upstream."""

__all__ = ["OnlineRun"]


class OnlineRun:
    """What placement needs to know of a run.

    Parameters
    ----------
    started_at : float
        Reactor seconds.

    Attributes
    ----------
    has_failed : bool
        True when the upstream has failed it, by evidence of its own.
    """

    __slots__ = ("started_at", "has_failed")

    def __init__(self, *, started_at):
        self.started_at = started_at
        self.has_failed = False
