"""One upstream."""

import math

from hollyspan_policy.batch import SlotTurns
from hollyspan_policy.hashing import hash_parts

__all__ = ["Upstream", "UpstreamEntry"]

# Seconds for which a report counts: the time in which most of the online
# requests that it shows have ended.
REPORT_S = 0.7
# Seconds for which the load told by another region counts, of which several
# messages come in a second: what it is off by grows as in a report.
TOTAL_S = 1.0
# Requests in a report that gateways may not have told of yet, while their
# messages are on the way.
REPORT_LAG = 1


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

    Attributes
    ----------
    key : int
        Hash of its name, by which gateways tell each other of it.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "data_centre",
        "slots",
        "is_ready",
        "born",
        "key",
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
        self.key = hash_parts(name)


class Upstream:
    """An upstream and the work that is known to be there.

    Parameters
    ----------
    entry : UpstreamEntry
    region : int
        Hash of the name of its region.

    Attributes
    ----------
    online, batch : int
        Requests in flight from this daemon.
    peers : dict
        (online, batch) in flight from other gateways, by their
        identifiers; changed by `take_told` and `forget_told`.
    told_online, told_batch : int
        Their sums.
    suspect_until : float
        Time until which new work goes elsewhere, since the last sends
        failed.
    failures : int
        Failed sends in a row.
    is_listed : bool
        False once the entry is gone from the store.
    kept_until : float
        Time until which it is used nevertheless.
    waiting : int
        Queue of the last report.
    hidden : int
        Requests in the last report that no gateway tells of.
    reported_at : float
        Time of the last report, from an answer here or at a peer.
    news : (int, int) or None
        Report that peers have not been told.
    total : (int, int)
        Online requests and batch items from all gateways, as those of its
        region have told.
    total_at : float
        Time at which they have.
    turns : SlotTurns
        When this daemon may fill free slots there with batch work.
    is_unreachable_news : bool
        True when peers have not been told that no connection was made.
    """

    __slots__ = (
        "entry",
        "region",
        "online",
        "batch",
        "peers",
        "told_online",
        "told_batch",
        "suspect_until",
        "failures",
        "is_listed",
        "kept_until",
        "waiting",
        "hidden",
        "reported_at",
        "news",
        "total",
        "total_at",
        "turns",
        "is_unreachable_news",
    )

    def __init__(self, *, entry, region):
        self.entry = entry
        self.region = region
        self.online = 0
        self.batch = 0
        self.peers = {}
        self.told_online = 0
        self.told_batch = 0
        self.suspect_until = 0.0
        self.failures = 0
        self.is_listed = True
        self.kept_until = 0.0
        self.waiting = 0
        self.hidden = 0
        self.reported_at = -math.inf
        self.news = None
        self.total = (0, 0)
        self.total_at = -math.inf
        self.turns = SlotTurns()
        self.is_unreachable_news = False

    def count_online(self):
        """Return the online requests in flight from all daemons."""
        return self.online + self.told_online

    def count_batch(self):
        """Return the batch items in flight from all daemons."""
        return self.batch + self.told_batch

    def take_told(self, identifier, load):
        """Take in what another gateway has in flight here.

        Parameters
        ----------
        identifier : str
        load : (int, int)
            Online requests and batch items.
        """
        self.forget_told(identifier)
        self.peers[identifier] = load
        self.told_online += load[0]
        self.told_batch += load[1]

    def forget_told(self, identifier):
        """Forget what another gateway has in flight here."""
        online, batch = self.peers.pop(identifier, (0, 0))
        self.told_online -= online
        self.told_batch -= batch

    def take_total(self, online, batch, *, now):
        """Take in the load that a gateway of the upstream's region tells."""
        self.total = (online, batch)
        self.total_at = now

    def has_total(self, *, now):
        """Tell whether the load told by its region still counts."""
        return now - self.total_at < TOTAL_S

    def take_report(self, running, waiting, *, now):
        """Take in the load that the upstream tells with an answer.

        Parameters
        ----------
        running, waiting : int
        now : float
        """
        known = self.count_online() + self.count_batch()
        self.hidden = max(0, running + waiting - known - REPORT_LAG)
        self.waiting = waiting
        self.reported_at = now

    def is_reported(self, *, now):
        """Tell whether the last report still counts."""
        return now - self.reported_at < REPORT_S
