"""State that the parts of one gateway share."""

import time

import eliot

from hollyspan_policy.hashing import hash_parts

from .http1 import ConnectionPool
from .jobs.reading import JobReading
from .jobs.submissions import Submissions
from .online.held import HeldRequests
from .online.service import OnlineService
from .peers import build_identifier
from .peers import LoadNews
from .peers import PeerTable
from .peers import UpstreamTotal
from .refresh import Refresh
from .retirement import Retirement
from .store import Mirror
from .upstreams import BatchPlacement
from .upstreams import Directory
from .upstreams import LAPSE_GRACE_S
from .upstreams import Placement

__all__ = ["Gateway"]

MEMBERS_PREFIX = "hs/m/"
# Seconds after the request to stop in which new requests are still taken: the
# balancer needs two missed questions, one a second, to notice. What comes
# later could be cut off by the end of the grace time.
TAKE_S = 3.0
# Most of the grace time that this may use.
TAKE_SHARE = 0.5


class Gateway:
    """One gateway: what it knows and the parts that use it.

    Parameters
    ----------
    reactor : twisted reactor
    settings : GatewaySettings
    store : Store
    dialect : object
        Functions that translate to and from the platform's formats.
    metrics : Metrics
    incarnation : int
        Start time, microseconds since the epoch.

    Attributes
    ----------
    routes : RouteTable or None
        The configuration in force.
    draining_since : float or None
        Time of the reactor at which it was told to stop.
    site : ClientSite or None
        Where clients are served; None for a gateway that only runs items.
    read_metrics : callable or None
        Returns the metrics as text, once the instruments exist.
    worker : Worker or None
    workers : frozenset of str
        Identifiers of the gateways that can run items, as of the last change.
    """

    def __init__(
        self, *, reactor, settings, store, dialect, metrics, incarnation
    ):
        self.reactor = reactor
        self.settings = settings
        self.store = store
        self.dialect = dialect
        self.metrics = metrics
        self.routes = None
        self.draining_since = None
        self.read_metrics = None
        self.site = None
        self.worker = None
        self.workers = frozenset()
        self.pool = ConnectionPool(reactor=reactor)
        self.directory = Directory(
            reactor=reactor,
            find_region=settings.find_region,
            on_leaving=self.leave_upstream,
        )
        self.placement = Placement(
            reactor=reactor,
            directory=self.directory,
            data_centre=settings.data_centre,
            find_region=settings.find_region,
            has_current_remote_load=lambda: self.peers.tells_all(),
            on_change=self.note_load,
        )
        self.batch_placement = BatchPlacement(
            placement=self.placement,
            gateway=build_identifier(hash_parts(settings.instance)),
        )
        self.peers = PeerTable(
            reactor=reactor,
            name=settings.instance,
            region=settings.region,
            incarnation=incarnation,
            runs_batch=settings.runs_batch,
            describe=self.describe,
            list_loads=self.list_loads,
            list_totals=self.list_totals,
            on_message=self.take_message,
            on_membership=self.note_membership,
        )
        self.load_news = LoadNews(table=self.peers)
        self.configuration_mirror = Mirror(
            store=store,
            reactor=reactor,
            prefix=dialect.configuration_prefix,
            on_change=self.take_configuration,
        )
        self.upstreams_mirror = Mirror(
            store=store,
            reactor=reactor,
            prefix=dialect.upstreams_prefix,
            on_change=self.take_upstreams,
        )
        self.mirrors = {
            "configuration": self.configuration_mirror,
            "upstreams": self.upstreams_mirror,
        }
        self.retirement = Retirement(gateway=self)
        self.refresh = Refresh(gateway=self)
        self.submissions = Submissions(gateway=self)
        self.reading = JobReading(gateway=self)
        self.held = HeldRequests(gateway=self)
        self.online = OnlineService(gateway=self)

    @property
    def configuration_version(self):
        """Version of the configuration in force, None without one."""
        return None if self.routes is None else self.routes.version

    @property
    def is_ready(self):
        """True when clients can be served."""
        return (
            self.routes is not None
            and self.upstreams_mirror.revision > 0
            and not self.is_draining
        )

    @property
    def is_draining(self):
        """True once it has been told to stop."""
        return self.draining_since is not None

    @property
    def takes_requests(self):
        """True while a new request can be finished before the stop."""
        if self.draining_since is None:
            return True
        spent = self.reactor.seconds() - self.draining_since
        grace = self.settings.grace_seconds
        return spent < min(TAKE_S, TAKE_SHARE * grace)

    def drain(self):
        """Report not ready from now on, also to the other gateways."""
        self.draining_since = self.reactor.seconds()
        self.peers.send_full(self.peers.list_live())

    def wall_clock(self):
        """Return Unix seconds."""
        return time.time()

    def take_configuration(self, mirror):
        """Put a newer configuration into force."""
        for entry in mirror.entries.values():
            table = self.dialect.decode_configuration(entry)
            if table is None:
                self.retirement.take_order(entry)
                continue
            known = self.routes
            if known is not None and table.revision <= known.revision:
                continue
            self.routes = table
            if self.site is not None:
                self.site.apply_limits(table.limits)
            eliot.log_message(
                "configuration:in_force",
                version=table.version,
                revision=table.revision,
                routes=sum(map(len, table.by_host.values())),
                was=None if known is None else known.version,
            )

    def take_upstreams(self, mirror):
        """Take over the list of upstreams."""
        entries = {}
        for entry in mirror.entries.values():
            upstream = self.dialect.decode_upstream(entry)
            if upstream is not None:
                entries[upstream.name] = upstream
        lapse_until = 0.0
        if mirror.regained is not None:
            lapse_until = mirror.regained + LAPSE_GRACE_S
        if not mirror.is_connected:
            # This change is the first answer after an outage.
            lapse_until = self.reactor.seconds() + LAPSE_GRACE_S
        again_at = self.directory.update(entries, lapse_until=lapse_until)
        if again_at is not None:
            self.reactor.callLater(
                max(0.0, again_at - self.reactor.seconds()),
                self.take_upstreams,
                mirror,
            )
        if self.worker is not None:
            self.worker.schedule(0.0)

    def leave_upstream(self, upstream):
        """Send nothing new to an upstream that leaves."""
        self.pool.drop_address(upstream.entry.address)

    def note_load(self, upstream, *, is_batch_only):
        """Pass on a change of this gateway's load."""
        self.load_news.note(upstream, is_batch_only=is_batch_only)
        if self.worker is not None:
            self.worker.make_room(upstream)

    def describe(self):
        """Return the state for a full message to peers."""
        worker = self.worker
        return {
            "configuration": self.configuration_revision,
            "upstreams": self.find_upstreams_revision(),
            "runs_batch": worker is not None and not worker.is_stopping,
            "is_leaving": self.is_draining,
            "reaches_store": self.upstreams_mirror.is_connected,
            "items": list(worker.running) if worker is not None else [],
        }

    def find_upstreams_revision(self):
        """Return the revision of the newest upstream entry."""
        entries = self.upstreams_mirror.entries.values()
        return max((entry.revision for entry in entries), default=0)

    def list_loads(self):
        """Return the upstreams with requests of this gateway."""
        return [
            upstream
            for upstream in self.directory.upstreams.values()
            if upstream.online or upstream.batch
        ]

    def list_totals(self):
        """Return the load of the upstreams of the own region."""
        return [
            UpstreamTotal(
                upstream=upstream.entry.key,
                online=upstream.count_online(),
                batch=upstream.count_batch(),
            )
            for upstream in self.directory.upstreams.values()
            if upstream.region == self.peers.region
        ]

    def take_message(self, peer, message, change):
        """Take over a peer's load and notice what it knows better."""
        now = self.reactor.seconds()
        news = {load.upstream: load for load in message.loads}
        for key in change.upstreams:
            upstream = self.directory.by_key.get(key)
            if upstream is None:
                continue
            load = peer.loads.get(key)
            if load is None:
                upstream.forget_told(peer.identifier)
            else:
                upstream.take_told(peer.identifier, load)
            if key in news:
                self.take_news(upstream, news[key], now=now)
            if self.worker is not None:
                self.worker.make_room(upstream)
        for total in message.totals:
            upstream = self.directory.by_key.get(total.upstream)
            if upstream is not None:
                upstream.take_total(total.online, total.batch, now=now)
        if message.is_full:
            self.refresh.compare(peer, message)

    def take_news(self, upstream, load, *, now):
        """Take over what a peer has just learned of an upstream."""
        if load.reported is not None:
            upstream.take_report(*load.reported, now=now)
        if load.is_unreachable:
            self.directory.note_hearsay(upstream)

    @property
    def configuration_revision(self):
        """Revision of the configuration in force, 0 without one."""
        return 0 if self.routes is None else self.routes.revision

    def note_membership(self):
        """Take note that gateways came or went."""
        live = {peer.identifier for peer in self.peers.list_live()}
        for upstream in self.directory.upstreams.values():
            for name in list(upstream.peers):
                if name not in live:
                    upstream.forget_told(name)
        if self.worker is not None:
            self.note_workers()

    def note_workers(self):
        """Read results again when items may have changed hands."""
        workers = frozenset(self.list_workers())
        if workers != self.workers:
            self.workers = workers
            self.worker.recheck()

    def list_workers(self):
        """Return the identifiers of the gateways that can run items."""
        workers = [
            peer.identifier
            for peer in self.peers.list_workers()
            if peer.reaches_store and not peer.is_leaving
        ]
        if not self.worker.is_stopping:
            workers.append(self.peers.identifier)
        return workers

    def list_claimed_items(self):
        """Return the hashes of the items that run at peers."""
        return frozenset().union(
            *(peer.items for peer in self.peers.list_workers())
        )
