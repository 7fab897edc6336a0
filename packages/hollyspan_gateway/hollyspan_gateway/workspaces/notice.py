"""What gateways tell each other of a workspace's rate."""

__all__ = ["RateNotice"]


class RateNotice:
    """A use of a workspace's rate, or a keeper's answer to it.

    Parameters
    ----------
    workspace : int
        Hash of its name.
    use : RateUse or None, optional
    answer : RateAnswer or None, optional
        One of both is set.
    """

    __slots__ = ("workspace", "use", "answer")

    def __init__(self, *, workspace, use=None, answer=None):
        self.workspace = workspace
        self.use = use
        self.answer = answer
