"""Another gateway."""

__all__ = ["Peer", "PeerChange", "build_identifier", "parse_identifier"]

# Seconds between the full messages of a gateway that has not told it yet.
FIRST_BEAT_S = 0.3
# Seconds of silence after which a gateway counts as lost: three missed
# messages, and the longest way between regions.
MISSED_BEATS = 3
WAY_S = 0.1


class PeerChange:
    """What a message has changed.

    Parameters
    ----------
    upstreams : collection of int
        Keys of the upstreams whose load from the peer may differ.
    is_member_news : bool
        True when the peer appeared, or its role in the fleet differs.
    """

    __slots__ = ("upstreams", "is_member_news")

    def __init__(self, *, upstreams, is_member_news):
        self.upstreams = upstreams
        self.is_member_news = is_member_news


class Peer:
    """What is known of another gateway.

    Parameters
    ----------
    key : int
        Hash of its name, the same at each gateway, whether or not the name
        itself is known there.
    address : (str, int)

    Attributes
    ----------
    identifier : str
        The key as text.
    heard : float or None
        Time of its last message.
    incarnation, sequence : int
        Order of its messages.
    loads : dict
        (online, batch) by hash of the upstream's name.
    runs_batch, is_leaving, reaches_store : bool
    items : frozenset of int
        Hashes of the items that run there.
    heard_workers : frozenset of int
        Keys of the gateways that run items and that it hears.
    region : int
        Hash of its region, 0 before its first full message.
    beat_seconds : float
        Time between its full messages, as it tells.
    """

    __slots__ = (
        "identifier",
        "address",
        "key",
        "heard",
        "incarnation",
        "sequence",
        "loads",
        "runs_batch",
        "is_leaving",
        "reaches_store",
        "items",
        "heard_workers",
        "region",
        "beat_seconds",
    )

    def __init__(self, *, key, address):
        self.identifier = build_identifier(key)
        self.address = address
        self.key = key
        self.heard = None
        self.incarnation = 0
        self.sequence = 0
        self.loads = {}
        self.runs_batch = False
        self.is_leaving = False
        self.reaches_store = False
        self.items = frozenset()
        self.heard_workers = frozenset()
        self.region = 0
        self.beat_seconds = FIRST_BEAT_S

    def take(self, message, *, now):
        """Take in a message.

        Parameters
        ----------
        message : FleetMessage
        now : float

        Returns
        -------
        PeerChange or None
            None for a message that is older than what is known.
        """
        order = (message.incarnation, message.sequence)
        if order <= (self.incarnation, self.sequence):
            return None
        changed = {load.upstream for load in message.loads}
        if message.is_full or message.incarnation != self.incarnation:
            changed.update(self.loads)
            self.loads = {}
        role = self.get_role()
        self.incarnation, self.sequence = order
        self.heard = now
        if message.is_full:
            self.runs_batch = message.runs_batch
            self.is_leaving = message.is_leaving
            self.reaches_store = message.reaches_store
            self.items = frozenset(message.items)
            self.heard_workers = frozenset(message.heard)
            self.region = message.region
            self.beat_seconds = message.beat_seconds
        for load in message.loads:
            self.loads[load.upstream] = (load.online, load.batch)
        return PeerChange(
            upstreams=changed, is_member_news=role != self.get_role()
        )

    def is_live(self, now):
        """Tell whether the gateway was heard of late."""
        if self.heard is None:
            return False
        return now - self.heard < MISSED_BEATS * self.beat_seconds + WAY_S

    def get_role(self):
        """Return what its place among the live gateways depends on."""
        return (
            self.runs_batch,
            self.is_leaving,
            self.reaches_store,
            self.heard_workers,
        )


def build_identifier(key):
    """Return the key of a gateway as text."""
    return f"{key:016x}"


def parse_identifier(identifier):
    """Return the key of a gateway from its text."""
    return int(identifier, 16)
