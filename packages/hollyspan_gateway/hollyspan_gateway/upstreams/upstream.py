"""One upstream."""

__all__ = ["Upstream", "UpstreamEntry"]


class UpstreamEntry:
    """What an upstream registers about itself.

    Parameters
    ----------
    name : str
        Identifier of the incarnation.
    service : str
    address : (str, int)
    data_centre : str
    slots : int
        Requests that run at the same time.
    is_ready : bool
        False once it has announced that it leaves.
    born : int or None
        Unix milliseconds of its start.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "data_centre",
        "slots",
        "is_ready",
        "born",
    )

    def __init__(
        self,
        *,
        name,
        service,
        address,
        data_centre,
        slots,
        is_ready,
        born=None,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.is_ready = is_ready
        self.born = born


class Upstream:
    """An upstream and the work that is known to be there.

    Parameters
    ----------
    entry : UpstreamEntry

    Attributes
    ----------
    online, batch : int
        Requests in flight from this daemon.
    peers : dict
        (online, batch) in flight from other gateways, by their
        identifiers.
    suspect_until : float
        Time until which new work goes elsewhere, since the last sends
        failed.
    failures : int
        Failed sends in a row.
    is_listed : bool
        False once the entry is gone from the store.
    reported : (int, int, int) or None
        Running and waiting requests and slots of the last answer.
    reported_at : float
        Time of that answer.
    """

    __slots__ = (
        "entry",
        "online",
        "batch",
        "peers",
        "suspect_until",
        "failures",
        "is_listed",
        "reported",
        "reported_at",
    )

    def __init__(self, *, entry):
        self.entry = entry
        self.online = 0
        self.batch = 0
        self.peers = {}
        self.suspect_until = 0.0
        self.failures = 0
        self.is_listed = True
        self.reported = None
        self.reported_at = 0.0

    def count_online(self):
        """Return the online requests in flight from all daemons."""
        return self.online + sum(told[0] for told in self.peers.values())

    def count_batch(self):
        """Return the batch items in flight from all daemons."""
        return self.batch + sum(told[1] for told in self.peers.values())

    def find_waiting(self, since):
        """Return the queue that was reported after a time, else 0."""
        if self.reported is None or self.reported_at < since:
            return 0
        return self.reported[1]
