"""Another gateway."""

__all__ = ["Peer", "build_identifier"]


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

    def take(self, message, *, now):
        """Take in a message.

        Parameters
        ----------
        message : FleetMessage
        now : float

        Returns
        -------
        bool
            False for a message that is older than what is known.
        """
        order = (message.incarnation, message.sequence)
        if order <= (self.incarnation, self.sequence):
            return False
        if message.incarnation != self.incarnation:
            self.loads = {}
        self.incarnation, self.sequence = order
        self.heard = now
        if message.is_full:
            self.loads = {}
            self.runs_batch = message.runs_batch
            self.is_leaving = message.is_leaving
            self.reaches_store = message.reaches_store
            self.items = frozenset(message.items)
            self.heard_workers = frozenset(message.heard)
        for load in message.loads:
            self.loads[load.upstream] = (load.online, load.batch)
        return True


def build_identifier(key):
    """Return the key of a gateway as text."""
    return f"{key:016x}"
