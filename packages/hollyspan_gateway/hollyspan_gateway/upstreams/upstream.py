"""One upstream and its load."""

import math

from hollyspan_policy.batch import SlotTurns
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.incarnations import IncarnationRecord
from hollyspan_policy.outliers import OutlierRecord
from hollyspan_policy.pace import PaceRecord
from hollyspan_policy.speeds import SlownessRecord

from .link import Link
from .rate_limit import RateLimit

__all__ = ["Upstream", "UpstreamEntry"]

# Validity of an upstream's load report: the time after which most of the
# online requests in it have ended.
REPORT_TTL_S = 0.7
# Validity of the total load that gateways of another region send several times
# a second; its error grows with age like that of a load report.
REGION_TOTAL_TTL_S = 1.0
# Requests in a load report that may not be counted here yet, since messages of
# other gateways about them are still in transit.
REPORT_LAG_REQUESTS = 1


class UpstreamEntry:
    """Registration of an upstream in the store.

    Parameters
    ----------
    name : str
        Identifier of the incarnation.
    service : str
    address : (str, int)
    data_centre : str
    slots : int
        Number of requests that can run at the same time.
    is_ready : bool
        False once the upstream has announced its shutdown.
    started_at_ms : int or None
        Start time, Unix milliseconds.
    version : str, optional
        Version of its software.

    Attributes
    ----------
    version_key : int
        Hash of service and version.
    identity : tuple
        What changes with the process: start time, version and address.
    key : int
        Hash of its name, which identifies it in messages to peers.
    incarnation_key : int
        Hash of its name and start time.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "data_centre",
        "slots",
        "is_ready",
        "started_at_ms",
        "version",
        "version_key",
        "key",
        "incarnation_key",
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
        started_at_ms=None,
        version="",
    ):
        self.name = name
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.is_ready = is_ready
        self.started_at_ms = started_at_ms
        self.version = version
        self.version_key = hash_parts(service, version)
        self.key = hash_parts(name)
        self.incarnation_key = hash_parts(name, str(started_at_ms))

    @property
    def identity(self):
        return self.started_at_ms, self.version, self.address


class Upstream:
    """An upstream and the work in flight there.

    Parameters
    ----------
    entry : UpstreamEntry
    region : int
        Hash of the name of its region.

    Attributes
    ----------
    online, batch : int
        Requests and items in flight from this gateway.
    peer_loads : dict
        (online, batch) in flight from other gateways, by their
        identifiers; changed by `set_peer_load` and `remove_peer_load`.
    peer_online, peer_batch : int
        Sums of the values of `peer_loads`.
    suspect_until : float
        Time until which the upstream gets no new work, after failed sends.
    failures : int
        Number of consecutive failed sends.
    is_listed : bool
        False once the entry was removed from the store.
    kept_until : float
        Time until which the upstream is still used without an entry.
    waiting : int
        Queue length in the last load report.
    hidden : int
        Requests in the last load report that no gateway accounts for.
    reported_at : float
        Time of the last load report, from an answer here or at a peer.
    unsent_report : LoadReport or None
        Load report that was not sent to peers yet.
    region_total : (int, int)
        Online requests and batch items from all gateways, as sent by a
        gateway of the upstream's region.
    region_total_at : float
        Time at which `region_total` was received.
    turns : SlotTurns
        Turns of this gateway to fill free slots there with batch items.
    has_unsent_failure : bool
        True when a failed connection attempt was not sent to peers yet.
    has_departed : bool
        True once the upstream has announced its shutdown in an answer, here
        or at a peer.
    has_unsent_departure : bool
        True when this was not sent to peers yet.
    rate_limit : RateLimit
        Limit on the requests from all gateways, and this gateway's share.
    link : Link
        This gateway's link to it.
    outlier : OutlierRecord
        Failed runs from this gateway.
    speed : SlownessRecord
        How long work takes there.
    is_slow : bool
        Whether it was last noted as slow, see `Speeds`.
    unsent_run_slowness : float or None
        How long a run there took, relative to the usual, that was not sent to
        peers yet.
    pace : PaceRecord
        Requests that it may get after a start or recovery.
    incarnation : IncarnationRecord
        Whether its process is still the one that the entry names.
    """

    __slots__ = (
        "entry",
        "region",
        "online",
        "batch",
        "peer_loads",
        "peer_online",
        "peer_batch",
        "suspect_until",
        "failures",
        "is_listed",
        "kept_until",
        "waiting",
        "hidden",
        "reported_at",
        "unsent_report",
        "region_total",
        "region_total_at",
        "turns",
        "has_unsent_failure",
        "has_departed",
        "has_unsent_departure",
        "rate_limit",
        "link",
        "outlier",
        "speed",
        "is_slow",
        "unsent_run_slowness",
        "pace",
        "incarnation",
    )

    def __init__(self, *, entry, region):
        self.entry = entry
        self.region = region
        self.online = 0
        self.batch = 0
        self.peer_loads = {}
        self.peer_online = 0
        self.peer_batch = 0
        self.suspect_until = 0.0
        self.failures = 0
        self.is_listed = True
        self.kept_until = 0.0
        self.waiting = 0
        self.hidden = 0
        self.reported_at = -math.inf
        self.unsent_report = None
        self.region_total = (0, 0)
        self.region_total_at = -math.inf
        self.turns = SlotTurns()
        self.has_unsent_failure = False
        self.has_departed = False
        self.has_unsent_departure = False
        self.rate_limit = RateLimit()
        self.link = Link()
        self.outlier = OutlierRecord()
        self.speed = SlownessRecord()
        self.is_slow = False
        self.unsent_run_slowness = None
        self.pace = PaceRecord()
        self.incarnation = IncarnationRecord()

    def is_suspect(self, *, now):
        """Return whether it gets no new work after failures."""
        return self.suspect_until > now or self.link.is_doubted(now=now)

    @property
    def accepts_work(self):
        """True until the upstream or its entry announces the shutdown."""
        return self.entry.is_ready and not self.has_departed

    def count_online(self):
        """Return the online requests in flight from all gateways."""
        return self.online + self.peer_online

    def count_batch(self):
        """Return the batch items in flight from all gateways."""
        return self.batch + self.peer_batch

    def set_peer_load(self, identifier, load):
        """Set the load that another gateway has in flight here.

        Parameters
        ----------
        identifier : str
        load : (int, int)
            Online requests and batch items.
        """
        self.remove_peer_load(identifier)
        self.peer_loads[identifier] = load
        self.peer_online += load[0]
        self.peer_batch += load[1]

    def remove_peer_load(self, identifier):
        """Remove the load of another gateway."""
        online, batch = self.peer_loads.pop(identifier, (0, 0))
        self.peer_online -= online
        self.peer_batch -= batch

    def set_region_total(self, online, batch, *, now):
        """Set the total load that a gateway of the upstream's region sent."""
        self.region_total = (online, batch)
        self.region_total_at = now

    def has_region_total(self, *, now):
        """Return whether the total load from its region is still valid."""
        return now - self.region_total_at < REGION_TOTAL_TTL_S

    def record_report(self, running, waiting, *, now):
        """Record the load that the upstream reported with an answer.

        Parameters
        ----------
        running, waiting : int
        now : float
        """
        counted = self.count_online() + self.count_batch()
        self.hidden = max(0, running + waiting - counted - REPORT_LAG_REQUESTS)
        self.waiting = waiting
        self.reported_at = now

    def has_recent_report(self, *, now):
        """Return whether the last load report is still valid."""
        return now - self.reported_at < REPORT_TTL_S
