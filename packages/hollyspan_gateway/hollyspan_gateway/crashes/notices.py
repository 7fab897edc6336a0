"""What gateways tell each other about ended upstreams."""

__all__ = ["BlockNotice", "EndNotice", "OtherEndNotice", "SurvivalNotice"]


class EndNotice:
    """Requests of one gateway that an upstream's end has broken off.

    Parameters
    ----------
    upstream : int
        Key of its incarnation.
    requests : list of tuple of int
        Their keys.
    fingerprints : list of int
        Those of the keys that belong to one request alone.
    age : float
        Time since the end, seconds.
    is_confirmed : bool
        False while the gateway's link may be to blame.
    """

    __slots__ = (
        "upstream",
        "requests",
        "fingerprints",
        "age",
        "is_confirmed",
    )

    def __init__(
        self, *, upstream, requests, age, fingerprints=(), is_confirmed=True
    ):
        self.upstream = upstream
        self.requests = requests
        self.fingerprints = fingerprints
        self.age = age
        self.is_confirmed = is_confirmed


class OtherEndNotice:
    """Upstream that ended with no request that may have caused it.

    Parameters
    ----------
    upstream : int
        Key of its incarnation.
    age : float
        Time since the end, seconds.
    has_unread : bool, optional
        True if it may not have read some that were in flight.
    """

    __slots__ = ("upstream", "age", "has_unread")

    def __init__(self, *, upstream, age, has_unread=False):
        self.upstream = upstream
        self.age = age
        self.has_unread = has_unread


class SurvivalNotice:
    """A request that an upstream has survived.

    Parameters
    ----------
    keys : tuple of int
    age : float
        Time since then, seconds.
    """

    __slots__ = ("keys", "age")

    def __init__(self, *, keys, age):
        self.keys = keys
        self.age = age


class BlockNotice:
    """Keys that no request may have together.

    Parameters
    ----------
    keys : tuple of int
    age : float
        Time since the decision or the last failed trial, seconds.
    failed_trials : int
    void_trials : int, optional
    is_tried : bool, optional
        True while the sender makes a trial.
    """

    __slots__ = ("keys", "age", "failed_trials", "void_trials", "is_tried")

    def __init__(
        self, *, keys, age, failed_trials, void_trials=0, is_tried=False
    ):
        self.keys = keys
        self.age = age
        self.failed_trials = failed_trials
        self.void_trials = void_trials
        self.is_tried = is_tried
