"""A gateway with the decisions of the product and simulated I/O."""

import math

from hollyspan_core.errors import OverloadedError
from hollyspan_gateway.jobs.ranks import WorkerRanks
from hollyspan_gateway.online.held import HOLD_CHECK_INTERVAL_S
from hollyspan_gateway.online.held import MAX_HELD_REQUESTS
from hollyspan_gateway.peers import FleetMessage
from hollyspan_gateway.peers import LoadBroadcaster
from hollyspan_gateway.peers import UpstreamLoad
from hollyspan_gateway.upstreams import BatchPlacement
from hollyspan_gateway.upstreams import build_pace_report
from hollyspan_gateway.upstreams import Directory
from hollyspan_gateway.upstreams import Placement
from hollyspan_gateway.workspaces import FleetShares
from hollyspan_policy.admission import measure_work
from hollyspan_policy.admission import rank_held_request
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import choose_coalescing_delay
from hollyspan_policy.membership import choose_heartbeat_interval
from hollyspan_policy.membership import is_small_fleet

from .attempt import Attempt
from .batch import BatchRunner
from .peers import PeersModel
from .policies import LoadView
from .targets import FIRST_EVENT_TARGET_S

__all__ = ["GatewayModel"]


class GatewayModel:
    """One gateway of a simulated fleet.

    Parameters
    ----------
    fleet : FleetModel
    name, data_centre : str
    policy : RunPolicy
    runs_batch : bool

    Attributes
    ----------
    region : int
        Hash of the name of its region.
    batch : BatchRunner
    peers : PeersModel
    held : list of RequestState
        Requests that wait at the gateway for a slot.
    policy_state : dict
        What a policy remembers of each upstream, by its name.
    """

    def __init__(self, *, fleet, name, data_centre, policy, runs_batch):
        self.fleet = fleet
        self.clock = fleet.clock
        self.service = fleet.service
        self.identifier = name
        self.data_centre = data_centre
        self.region = hash_parts(fleet.find_region(data_centre))
        self.policy = policy
        self.runs_batch = runs_batch
        self.directory = Directory(
            reactor=fleet.clock,
            find_region=fleet.find_region,
            on_leaving=lambda upstream: None,
            on_replaced=lambda upstream: None,
            on_change=lambda upstream: None,
        )
        self.placement = Placement(
            reactor=fleet.clock,
            directory=self.directory,
            data_centre=data_centre,
            find_region=fleet.find_region,
            has_current_remote_load=lambda: is_small_fleet(
                len(fleet.gateways)
            ),
            on_change=self.handle_load_change,
            identifier=name,
            list_sharers=list,
            has_batch_work=lambda service: True,
            is_lost=lambda upstream: False,
            on_link_failure=lambda upstream, **evidence: None,
            paces_upstreams=policy.choose_pace is not None,
        )
        if policy.choose_pace is not None:
            self.placement.paces.step = policy.choose_pace
        self.batch_placement = BatchPlacement(
            placement=self.placement, gateway=name
        )
        self.batch = BatchRunner(gateway=self)
        self.peers = PeersModel(
            fleet=fleet, identifier=name, region=self.region
        )
        self.ranks = WorkerRanks(gateway=self)
        self.shares = FleetShares(
            clock=fleet.clock.seconds,
            get_table=lambda: fleet.workspaces,
            placement=self.placement,
        )
        self.load_broadcaster = LoadBroadcaster(table=self.peers)
        self.changed = {}
        self.online_changed = set()
        self.is_flush_scheduled = False
        self.held = []
        self.policy_state = {}

    def find_rank(self, upstream):
        """Return the rank of this gateway at an upstream.

        The rank is among the gateways that run items.
        """
        workers = self.fleet.list_workers()
        self.ranks.update_workers(each.identifier for each in workers)
        return self.ranks.find(upstream)

    def handle_load_change(self, upstream, *, is_batch_only):
        """Schedule the broadcast of a changed load and preempt items."""
        name = upstream.entry.name
        self.changed[name] = upstream
        if not is_batch_only:
            self.online_changed.add(name)
        if (
            not self.is_flush_scheduled
            and self.policy.view is not LoadView.REPORTS
        ):
            self.is_flush_scheduled = True
            self.clock.call_later(self.choose_send_delay(), self.flush)
        self.batch.preempt_items(upstream)

    def choose_send_delay(self):
        """Return the delay before a load change is sent, in seconds."""
        count = len(self.fleet.gateways)
        if self.policy.view is LoadView.EXACT:
            return 0.0
        if self.policy.view is LoadView.HEARTBEATS:
            return choose_heartbeat_interval(count)
        return choose_coalescing_delay(count)

    def find_delay(self, other):
        """Return the delay of a message to another gateway, in seconds."""
        if self.policy.view is LoadView.EXACT:
            return 0.0
        return self.fleet.find_delay(self.data_centre, other.data_centre)

    def flush(self):
        """Send the changed loads to other gateways."""
        self.is_flush_scheduled = False
        changed, self.changed = self.changed, {}
        online_changed, self.online_changed = self.online_changed, set()
        others = [each for each in self.fleet.gateways if each is not self]
        message = FleetMessage(
            sender=hash_parts(self.identifier),
            incarnation=1,
            sequence=self.fleet.messages,
            is_full=False,
            loads=(),
            workspace_loads=self.shares.list_newest(),
        )
        for name, upstream in changed.items():
            pace = build_pace_report(upstream.pace, now=self.clock.now)
            report, upstream.unsent_report = upstream.unsent_report, None
            if self.policy.view is LoadView.HEARTBEATS:
                report = None
            slowness, upstream.unsent_run_slowness = (
                upstream.unsent_run_slowness,
                None,
            )
            load = UpstreamLoad(
                upstream=upstream.entry.key,
                online=upstream.online,
                batch=upstream.batch,
                reported=report,
                run_slowness=slowness,
                pace=pace,
            )
            recipients = self.load_broadcaster.choose_load_recipients(
                upstream, others, is_batch_only=name not in online_changed
            )
            for other in recipients:
                self.fleet.messages += 1
                self.clock.call_later(
                    self.find_delay(other),
                    other.set_peer_load,
                    self.identifier,
                    name,
                    load,
                    message,
                )

    def record_report(self, upstream, load):
        """Record the load that an upstream reported with an answer's head."""
        if not self.policy.uses_speeds:
            load.slowness = None
        self.placement.load_reports.apply(upstream, load)
        upstream.unsent_report = load
        self.handle_load_change(upstream, is_batch_only=False)

    def set_peer_load(self, sender, name, load, message):
        """Record the load at an upstream that another gateway sent."""
        self.shares.apply(message)
        upstream = self.directory.upstreams.get(name)
        if upstream is None:
            return
        upstream.set_peer_load(sender, (load.online, load.batch))
        if load.reported is not None:
            self.placement.load_reports.apply(upstream, load.reported)
        self.placement.speeds.note_measured(upstream, load.run_slowness)
        self.placement.paces.apply_report(upstream, load)
        self.batch.preempt_items(upstream)

    def serve(self, request):
        """Send a request to an upstream, hold it or refuse it."""
        is_new = not request.sends and request.first_event_at is None
        if is_new and not request.refusals and not self.may_serve(request):
            self.refuse(request, self.choose_return_delay(request))
            return
        has_room = len(self.held) < MAX_HELD_REQUESTS
        if is_new and has_room and self.must_hold(request):
            self.held.append(request)
            request.refuse_at = self.find_hold_limit(request)
            if len(self.held) == 1:
                self.clock.call_later(
                    HOLD_CHECK_INTERVAL_S, self.check_held_requests
                )
            return
        self.send(request)

    def find_workspace(self, request):
        """Return the workspace of a request whose share counts, or None."""
        if not self.policy.shares_capacity or self.fleet.workspaces is None:
            return None
        return self.fleet.workspaces.by_name[request.arrival.workspace]

    def may_serve(self, request):
        """Return whether its workspace's share covers a new request."""
        workspace = self.find_workspace(request)
        if workspace is None:
            return True
        work = measure_work(
            prompt_tokens=sum(tokens for _, tokens in request.arrival.parts),
            output_tokens=request.arrival.tokens,
        )
        seed = f"{request.key}/{request.client_retries}"
        return self.shares.may_serve(
            workspace, self.service, work=work, seed=seed
        )

    def choose_return_delay(self, request):
        """Return when the client of a refused request may come back."""
        return self.shares.choose_return_delay(
            self.service,
            seconds_left=request.deadline - self.clock.now,
            seed=request.key,
        )

    def must_hold(self, request):
        seconds_to_target = (
            request.arrived_at + FIRST_EVENT_TARGET_S - self.clock.now
        )
        if self.policy.keeps_queues and self.is_over_share(request):
            seconds_to_target = 0.0
        return self.policy.holds_requests and self.placement.must_hold(
            self.service,
            seconds_to_target=seconds_to_target,
            seconds_left=request.deadline - self.clock.now,
        )

    def check_held_requests(self):
        """Send the first held requests that may be sent."""
        self.refuse_overdue()
        while self.held:
            request = min(self.held, key=self.rank)
            if self.must_hold(request):
                break
            self.held.remove(request)
            self.send(request)
            if self.fleet.workspaces is None:
                break
        if self.held:
            self.clock.call_later(
                HOLD_CHECK_INTERVAL_S, self.check_held_requests
            )

    def rank(self, request):
        """Return the sort key of a held request."""
        return rank_held_request(
            priority=0,
            is_over_share=self.is_over_share(request),
            deadline=request.deadline,
        )

    def is_over_share(self, request):
        """Return whether its workspace asks for more than its share."""
        workspace = self.find_workspace(request)
        return self.shares.is_over(workspace, self.service)

    def find_hold_limit(self, request):
        """Return until when to hold a request before it is refused."""
        seconds = self.policy.hold_seconds
        if request.client_retries or not self.is_over_share(request):
            seconds = math.inf
        return self.clock.now + seconds

    def refuse_overdue(self):
        """Refuse the requests that have been held for too long."""
        for request in list(self.held):
            if self.clock.now > request.refuse_at:
                self.held.remove(request)
                self.refuse(request, self.choose_return_delay(request))

    def send(self, request):
        """Send a request to an upstream, or refuse it."""
        try:
            upstream = self.policy.choose_online(
                self,
                request.key,
                request.tried,
                request.deadline - self.clock.now,
            )
        except OverloadedError as refusal:
            self.refuse(request, refusal.retry_after)
            return
        request.tried.add(upstream.entry.name)
        request.sends += 1
        request.sent_at = self.clock.now
        request.expected_load = (
            upstream.count_online() + upstream.count_batch()
        )
        request.expected_load += upstream.hidden
        Attempt(gateway=self, request=request, upstream=upstream)

    def refuse(self, request, retry_after):
        """Refuse a request, or end it as lost if it may have run."""
        if request.first_event_at is not None or request.sends:
            request.end_reason = "lost"
            return
        request.end_reason = "refused"
        self.fleet.retry_later(request, retry_after)
