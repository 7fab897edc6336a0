"""One trial of a block and the right to make it."""

__all__ = ["Trial", "TrialGrant"]


class TrialGrant:
    """Right of this gateway to make the next trial of some blocks at once.

    Parameters
    ----------
    blocks : list of Block
        Those in force; the request falls under all of them and no other.
    until : float
        Time until which it holds, reactor seconds.
    is_claimed : bool
        Whether the claim is in the store.

    Attributes
    ----------
    request : str or None
        Identifier of the request that is let through with it.
    """

    __slots__ = ("blocks", "until", "is_claimed", "request")

    def __init__(self, *, blocks, until, is_claimed):
        self.blocks = list(blocks)
        self.until = until
        self.is_claimed = is_claimed
        self.request = None


class Trial:
    """A request that was let through all blocks that it falls under.

    Parameters
    ----------
    blocks : list of Block
    grant : TrialGrant
    exposure : Exposure
    started_at : float
        Reactor seconds.

    Attributes
    ----------
    has_ended_upstream : bool
        True once the end of its upstream was seen here.
    is_broken_off : bool
        True if the answer was broken off.
    is_joint : bool
        Whether it has begun as the trial of several blocks.
    reason : str or None
        Why it has ended without a result.
    """

    __slots__ = (
        "blocks",
        "grant",
        "exposure",
        "started_at",
        "has_ended_upstream",
        "is_broken_off",
        "is_joint",
        "reason",
    )

    def __init__(self, *, blocks, grant, exposure, started_at):
        self.blocks = list(blocks)
        self.grant = grant
        self.exposure = exposure
        self.started_at = started_at
        self.has_ended_upstream = False
        self.is_broken_off = False
        self.is_joint = len(self.blocks) > 1
        self.reason = None

    @property
    def upstream_key(self):
        """Key of the upstream's incarnation."""
        return self.exposure.upstream.entry.incarnation_key
