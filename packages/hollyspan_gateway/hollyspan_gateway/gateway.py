"""Shared state of the components of one gateway."""

import math
import time

from hollyspan_core.errors import DocumentInvalidError
from hollyspan_core.errors import DrainingError
from hollyspan_core.errors import Outcome
from hollyspan_policy.drain import can_finish
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.rates import RateSharer

from .clock import read_boot_clock
from .configuration import apply_configuration
from .crashes import RequestGuard
from .http1 import ConnectionPool
from .incarnations import Incarnations
from .indirect_probes import probe_indirectly
from .jobs.bodies import JobBodies
from .jobs.body_limits import choose_body_limit
from .jobs.body_limits import choose_kept_limit
from .jobs.quota import QuotaLedger
from .jobs.reading import JobReadService
from .jobs.submissions import Submissions
from .online.forwarding import Forwarding
from .online.held import HeldRequests
from .online.service import OnlineService
from .peers import build_identifier
from .peers import list_totals
from .peers import LoadBroadcaster
from .peers import PeerTable
from .proof_of_life import ProofOfLife
from .refresh import Refresh
from .refused import RefusedDocuments
from .retirement import Retirement
from .store import Mirror
from .store_reading import StoreReading
from .streams import StreamVersions
from .upstreams import apply_limits
from .upstreams import BatchPlacement
from .upstreams import Directory
from .upstreams import EXPIRY_GRACE_S
from .upstreams import is_limited
from .upstreams import Placement
from .upstreams import Reach
from .work import DRAINING_RETRY_AFTER_S
from .work import WorkInFlight
from .workspaces import Confirmation
from .workspaces import FleetShares
from .workspaces import WorkspaceAccess
from .workspaces import WorkspaceRates

__all__ = ["Gateway"]

MEMBERS_PREFIX = "hs/m/"


class Gateway:
    """State of one gateway and the components that use it.

    Parameters
    ----------
    reactor : twisted reactor
    settings : GatewaySettings
    store : Store
    dialect : object
        Encoders and decoders of the platform's formats.
    metrics : Metrics
    incarnation : int
        Start time, microseconds since the epoch.

    Attributes
    ----------
    routes : RouteTable or None
        The configuration in force.
    has_unread_configuration : bool
        True when the newest configuration cannot be read.
    draining_since : float or None
        Time at which the shutdown was requested, reactor seconds.
    refused : RefusedDocuments
        Documents of other programs that were not taken.
    work : WorkInFlight
        Requests and calls that have no final answer yet.
    site : ClientSite or None
        Server for clients; None for a gateway that only runs items.
    internal_site : ClientSite or None
        Server for the other gateways.
    read_metrics : callable or None
        Returns the metrics as text; None until the first scrape.
    bodies : JobBodies
    worker : Worker or None
    workers : frozenset of str
        Identifiers of the gateways that can run items, as of the last
        membership change.
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
        self.has_unread_configuration = False
        self.draining_since = None
        self.read_metrics = None
        self.site = None
        self.internal_site = None
        self.worker = None
        self.workers = frozenset()
        self.refused = RefusedDocuments(clock=reactor.seconds)
        self.work = WorkInFlight()
        self.reach = Reach(gateway=self, probe_indirectly=probe_indirectly)
        self.incarnations = Incarnations(gateway=self)
        self.use_pool(ConnectionPool(reactor=reactor, source_ip=settings.ip))
        self.directory = Directory(
            reactor=reactor,
            find_region=settings.find_region,
            on_leaving=self.handle_leaving_upstream,
            on_replaced=lambda upstream: self.guard.confirm_recent_end(
                upstream
            ),
            on_change=lambda upstream: self.handle_load_change(
                upstream, is_batch_only=False
            ),
        )
        self.placement = Placement(
            reactor=reactor,
            directory=self.directory,
            data_centre=settings.data_centre,
            find_region=settings.find_region,
            has_current_remote_load=lambda: self.peers.broadcasts_load(),
            on_change=self.handle_load_change,
            identifier=build_identifier(hash_parts(settings.instance)),
            list_sharers=self.list_sharers,
            has_batch_work=self.has_batch_work,
            is_lost=self.reach.is_lost,
            on_link_failure=self.reach.note_failure,
            find_version=self.incarnations.find_version,
            measures_speeds=settings.measures_speeds,
            paces_upstreams=settings.paces_upstreams,
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
            list_totals=lambda: list_totals(self),
            on_notices=self.apply_notices,
            on_message=self.apply_message,
            on_membership=self.update_membership,
        )
        self.shares = FleetShares(
            clock=reactor.seconds,
            get_table=lambda: self.workspaces.table,
            placement=self.placement,
        )
        self.load_broadcaster = LoadBroadcaster(
            table=self.peers, list_workspace_loads=self.shares.list_newest
        )
        self.store_reading = StoreReading(gateway=self)
        self.configuration_mirror = Mirror(
            store=store,
            reactor=reactor,
            prefix=dialect.configuration_prefix,
            on_change=self.apply_configuration,
            must_watch=self.store_reading.must_watch,
            on_news=self.store_reading.announce_news,
            clock=lambda: self.boot_clock(),
        )
        self.upstreams_mirror = Mirror(
            store=store,
            reactor=reactor,
            prefix=dialect.upstreams_prefix,
            on_change=self.apply_upstreams,
            must_watch=self.store_reading.must_watch,
            on_news=self.store_reading.announce_news,
        )
        self.mirrors = {
            "configuration": self.configuration_mirror,
            "upstreams": self.upstreams_mirror,
        }
        self.guard = RequestGuard(gateway=self)
        self.stream_versions = StreamVersions(gateway=self)
        self.retirement = Retirement(gateway=self)
        self.refresh = Refresh(gateway=self)
        self.workspaces = WorkspaceAccess(gateway=self)
        self.confirmation = Confirmation(gateway=self)
        self.proof_of_life = ProofOfLife(gateway=self)
        for name, mirror in self.mirrors.items():
            self.proof_of_life.follow(name, mirror)
        self.workspace_rates = WorkspaceRates(gateway=self)
        self.quotas = QuotaLedger(gateway=self)
        self.bodies = JobBodies(
            store=store,
            limit=choose_body_limit(settings.memory_bytes),
            kept_limit=choose_kept_limit(
                settings.memory_bytes, runs_batch=settings.runs_batch
            ),
        )
        self.submissions = Submissions(gateway=self, limit=self.bodies.limit)
        self.reading = JobReadService(gateway=self)
        self.held = HeldRequests(gateway=self)
        self.forwarding = Forwarding(gateway=self)
        self.online = OnlineService(gateway=self)

    def use_pool(self, pool):
        """Use a pool for all connections to upstreams and peers."""
        self.pool = pool
        pool.must_hold = self.reach.must_hold
        pool.on_open = self.note_open
        pool.on_refused = self.incarnations.note_refused
        pool.on_closed_early = self.incarnations.note_closed_early
        pool.on_idle_lost = lambda address: self.guard.note_closed(address)

    def note_open(self, address):
        """Note that a connection to an address works."""
        self.reach.note_open(address)
        self.incarnations.note_open(address)

    @property
    def configuration_version(self):
        """Version of the configuration in force, None without one."""
        return None if self.routes is None else self.routes.version

    @property
    def has_complete_routes(self):
        """True when the routes are all those that the store is known to hold.

        A request or item without a route is then known to have none.
        """
        return (
            self.routes is not None
            and self.routes.is_complete
            and not self.has_unread_configuration
        )

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
        """True once the shutdown was requested."""
        return self.draining_since is not None

    @property
    def seconds_left(self):
        """Seconds until the last work is ended, infinite without a stop."""
        if self.draining_since is None:
            return math.inf
        elapsed = self.reactor.seconds() - self.draining_since
        return self.settings.work_seconds - elapsed

    def require_time(self, seconds):
        """Raise DrainingError unless work ends before the process does.

        Parameters
        ----------
        seconds : float
            Time after which the work has ended at the latest.
        """
        if not can_finish(
            seconds_needed=seconds, seconds_left=self.seconds_left
        ):
            raise DrainingError(
                "the gateway is shutting down",
                outcome=Outcome.NOT_RUN,
                retry_after=DRAINING_RETRY_AFTER_S,
            )

    def drain(self):
        """Report not ready from now on, to the other gateways too."""
        self.draining_since = self.reactor.seconds()
        self.placement.rate_limits.schedule_update()
        self.peers.send_full(self.peers.list_live())

    def announce_reach(self):
        """Tell the peers that the links were lost, or work again."""
        self.placement.rate_limits.schedule_update()
        if self.worker is not None:
            self.update_workers()
        # In a large fleet the next heartbeats carry it.
        if self.peers.broadcasts_load():
            self.peers.send_full(self.peers.list_live())

    @property
    def can_run_items(self):
        """True while items can be started here, apart from upstreams."""
        return (
            self.worker is not None
            and not self.worker.is_stopping
            and self.routes is not None
        )

    def wall_clock(self):
        """Return the Unix time in seconds."""
        return time.time()

    def boot_clock(self):
        """Return the seconds since the machine booted, suspended or not."""
        return read_boot_clock()

    def apply_configuration(self, mirror):
        """Apply a newer configuration or an order to retire the machine."""
        apply_configuration(self, mirror)

    def apply_upstreams(self, mirror):
        """Update the directory from the mirrored entries of upstreams."""
        entries = {}
        refused = {}
        for entry in mirror.entries.values():
            try:
                upstream = self.dialect.decode_upstream(entry)
            except DocumentInvalidError as error:
                refused[entry.key] = (entry.revision, error.message)
            else:
                entries[upstream.name] = upstream
        self.refused.update("upstream", refused)
        expiry_grace_until = 0.0
        if mirror.reconnected_at is not None:
            expiry_grace_until = mirror.reconnected_at + EXPIRY_GRACE_S
        if not mirror.is_connected:
            # This change is the first answer after an outage.
            expiry_grace_until = self.reactor.seconds() + EXPIRY_GRACE_S
        recheck_at = self.directory.update(
            entries,
            expiry_grace_until=expiry_grace_until,
            change_age=mirror.change_age,
        )
        if recheck_at is not None:
            self.reactor.callLater(
                max(0.0, recheck_at - self.reactor.seconds()),
                self.apply_upstreams,
                mirror,
            )
        self.placement.rate_limits.schedule_update()
        self.stream_versions.version_records.schedule_update()
        if self.worker is not None:
            self.worker.schedule(0.0)

    def handle_leaving_upstream(self, upstream):
        """Close the idle connections to an upstream that leaves or is gone."""
        self.pool.drop_address(upstream.entry.address)
        if upstream.entry.name not in self.directory.upstreams:
            # The store has not heard of it for some time either.
            self.guard.confirm_recent_end(upstream)

    def handle_load_change(self, upstream, *, is_batch_only):
        """Queue a change of this gateway's load for peers; preempt items."""
        self.load_broadcaster.queue_change(
            upstream, is_batch_only=is_batch_only
        )
        if self.worker is not None:
            self.worker.preempt_items(upstream)

    def describe(self):
        """Return the fields of a full message to peers."""
        worker = self.worker
        return {
            "configuration": self.configuration_revision,
            "store_age": self.confirmation.describe_age(),
            "upstreams": self.upstreams_mirror.changed_revision,
            "runs_batch": self.can_run_items,
            "is_leaving": self.is_draining,
            "reaches_store": self.upstreams_mirror.is_connected,
            "runs_online": self.settings.client_port is not None,
            "lost_share": self.reach.measure_lost_share(),
            "memory_seconds": self.stream_versions.measure_memory(),
            "departures": self.directory.departures.list_announced(
                now=self.reactor.seconds()
            ),
            **({} if worker is None else worker.describe()),
            **self.proof_of_life.describe(),
            **self.guard.news.describe(),
            "unproven": self.incarnations.describe(),
            "workspace_loads": self.shares.list_loads(),
        }

    def list_loads(self):
        """Return the upstreams that full messages tell of.

        These are the ones with work of this gateway in flight and, in a small
        fleet, the limited and the paced ones, so that all gateways share the
        same limits and paces.
        """
        tells_limits = self.peers.broadcasts_load()
        return [
            upstream
            for upstream in self.directory.upstreams.values()
            if upstream.online
            or upstream.batch
            or (tells_limits and is_limited(upstream))
        ]

    def apply_notices(self, peer, message):
        """Apply what a peer tells of ended upstreams, blocks and streams."""
        self.guard.news.apply(message)
        self.incarnations.apply(message)
        self.stream_versions.apply(peer, message)

    def apply_message(self, peer, message, change):
        """Apply the loads in a peer's message and compare revisions."""
        now = self.reactor.seconds()
        if message.is_full and message.lost_share:
            self.directory.discard_doubts(peer.identifier)
        reported = [load.departure for load in message.loads if load.departure]
        for key in (*message.departures, *reported):
            self.directory.note_reported_departure(key)
        message_loads = {load.upstream: load for load in message.loads}
        for key in change.upstreams:
            upstream = self.directory.by_key.get(key)
            if upstream is None:
                continue
            load = peer.loads.get(key)
            if load is None:
                upstream.remove_peer_load(peer.identifier)
            else:
                upstream.set_peer_load(peer.identifier, load)
            if key in message_loads:
                self.apply_load_report(upstream, message_loads[key], peer=peer)
            if self.worker is not None:
                self.worker.preempt_items(upstream)
        for total in message.totals:
            upstream = self.directory.by_key.get(total.upstream)
            if upstream is not None:
                upstream.set_region_total(total.online, total.batch, now=now)
                apply_limits(self.placement, upstream, total)
        self.confirmation.note_message(message)
        self.proof_of_life.note_message(message)
        self.workspace_rates.apply(peer, message)
        self.shares.apply(message)
        self.refresh.compare_revisions(peer, message)

    def apply_load_report(self, upstream, load, *, peer):
        """Apply an upstream's load report or failure sent by a peer."""
        self.placement.load_reports.apply_peer_load(upstream, load)
        if load.is_unreachable and not peer.lost_share:
            self.directory.note_reported_unreachable(
                upstream, peer=peer.identifier
            )
        apply_limits(self.placement, upstream, load)

    @property
    def configuration_revision(self):
        """Revision of the configuration in force, 0 without one."""
        return 0 if self.routes is None else self.routes.revision

    def update_membership(self):
        """Discard the loads of failed peers and update the workers."""
        live = {peer.identifier for peer in self.peers.list_live()}
        for upstream in self.directory.upstreams.values():
            for name in list(upstream.peer_loads):
                if name not in live:
                    upstream.remove_peer_load(name)
        self.shares.forget(live)
        self.placement.rate_limits.schedule_update()
        self.stream_versions.version_records.schedule_reassignment()
        if self.worker is not None:
            self.update_workers()

    def list_sharers(self):
        """Return the gateways that share the rate limits of upstreams."""
        sharers = [
            RateSharer(
                identifier=peer.identifier,
                region=peer.region,
                runs_batch=peer.runs_batch,
            )
            for peer in self.peers.list_live()
            if not peer.is_leaving and not peer.is_cut_off
        ]
        if not self.is_draining and not self.reach.is_confirmed:
            sharers.append(
                RateSharer(
                    identifier=self.peers.identifier,
                    region=self.peers.region,
                    runs_batch=self.settings.runs_batch,
                )
            )
        return sharers

    def has_batch_work(self, service):
        """Return whether a batch route leads to a service."""
        return self.routes is not None and self.routes.has_batch_work(service)

    def update_workers(self):
        """Read results again when items may have moved to other workers.

        Returns
        -------
        frozenset of str
            Identifiers of the gateways that can run items.
        """
        workers = frozenset(self.list_workers())
        if workers != self.workers:
            self.workers = workers
            self.worker.reread_results()
        return workers

    def list_workers(self):
        """Return the identifiers of the gateways that can run items."""
        workers = [
            peer.identifier
            for peer in self.peers.list_workers()
            if peer.reaches_store
            and not peer.is_leaving
            and not peer.is_cut_off
        ]
        if self.can_run_items and not self.reach.is_confirmed:
            workers.append(self.peers.identifier)
        return workers

    def list_claimed_items(self):
        """Return the hashes of the items that peers are running."""
        return frozenset().union(
            *(peer.items for peer in self.peers.list_workers())
        )
