"""What gateways tell each other about ended upstreams."""

__all__ = ["BlockNotice", "EndNotice", "SurvivalNotice"]


class EndNotice:
    """Requests of one gateway that an upstream's end has broken off.

    Parameters
    ----------
    upstream : int
        Key of its incarnation.
    requests : list of tuple of int
        Shared parts of their prompts.
    age : float
        Time since the end, seconds.
    """

    __slots__ = ("upstream", "requests", "age")

    def __init__(self, *, upstream, requests, age):
        self.upstream = upstream
        self.requests = requests
        self.age = age


class SurvivalNotice:
    """A prompt that an upstream has survived.

    Parameters
    ----------
    parts : tuple of int
        Shared parts of the prompt.
    age : float
        Time since then, seconds.
    """

    __slots__ = ("parts", "age")

    def __init__(self, *, parts, age):
        self.parts = parts
        self.age = age


class BlockNotice:
    """Parts that no prompt may contain together.

    Parameters
    ----------
    parts : tuple of int
    age : float
        Time since the decision or the last failed trial, seconds.
    failed_trials : int
    """

    __slots__ = ("parts", "age", "failed_trials")

    def __init__(self, *, parts, age, failed_trials):
        self.parts = parts
        self.age = age
        self.failed_trials = failed_trials
