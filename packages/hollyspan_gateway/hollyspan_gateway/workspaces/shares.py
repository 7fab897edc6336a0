"""Shares of workspaces in what the fleet can serve."""

import eliot

from hollyspan_policy.admission import choose_return_delay
from hollyspan_policy.admission import choose_weights
from hollyspan_policy.admission import divide_capacity
from hollyspan_policy.admission import has_free_slot
from hollyspan_policy.admission import measure_request_capacity
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.hashing import hash_to_fraction
from hollyspan_policy.pace import list_with_room
from hollyspan_policy.routing import estimate_wait

from ..peers.message import WorkspaceLoad
from ..peers.peer import build_identifier
from .decay import RecentRate

__all__ = ["FleetShares"]

# Part of the capacity that is divided; with the rest, queues that have formed
# get shorter.
DIVIDED_PART = 0.9
# Part of its demand that each workspace gets, relative to what all get: more
# than half, since of what passes some is refused after it was held.
MIN_SERVED_RATIO = 0.6
# Part of its demand, relative to that of all, below which a workspace gets its
# share and no more: where all ask for too much alike, none is to blame.
EXCESS_RATIO = 0.9
# Requests a second beyond its share up to which a workspace counts as within
# it: two or three that come at once are no flood.
SPARE_REQUESTS_PER_S = 2.0
# Time for which the parts of the demands are kept.
REFRESH_S = 0.05
# Time for which the peers are told of the demands after a lack of room.
SHORTAGE_MEMORY_S = 3.0
# Time within its share after which a workspace counts as within it: longer
# than slots are free between two waves of requests.
OVER_MEMORY_S = 2.0
# Workspaces that one message tells of: in each message, and in full ones.
MAX_LOADS_IN_CHANGE = 8
MAX_LOADS_IN_FULL = 96
# Demands below this are not told, in tokens a second.
MIN_TOLD_DEMAND = 1.0


class ServiceDemand:
    """Recent demand for one service at this gateway.

    Attributes
    ----------
    work, requests : RecentRate
        Of all workspaces.
    weights : dict
        Weight by key of the workspace.
    names : dict
        Name of the workspace by its key.
    parts : dict
        Part of its demand that a workspace gets, by key.
    divided_at : float or None
        Time at which the capacity was last divided.
    over : dict
        Time at which a workspace was last over its share, by key, for the
        last seconds.
    is_short : bool
        Whether its upstreams have no free slot.
    wait : float
        Expected wait for a slot, in seconds.
    """

    __slots__ = (
        "work",
        "requests",
        "weights",
        "names",
        "parts",
        "divided_at",
        "over",
        "is_short",
        "wait",
    )

    def __init__(self, *, now):
        self.work = RecentRate(now=now)
        self.requests = RecentRate(now=now)
        self.weights = {}
        self.names = {}
        self.parts = {}
        self.divided_at = None
        self.over = {}
        self.is_short = False
        self.wait = 0.0


class FleetShares:
    """Divides what the fleet can serve among workspaces.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    get_table : callable
        Returns the WorkspaceTable in force, None without workspaces.
    placement : Placement

    Attributes
    ----------
    own : dict
        RecentRate of the work asked for here, by key of the workspace.
    peers : dict
        The same as told by each peer, by its identifier.
    short_at : float or None
        Time at which no slot was free last.

    Notes
    -----
    Each gateway divides for itself, from what all have told; nobody has to
    be asked. Where a peer tells nothing its demand counts as none, and
    others are refused less.
    """

    __slots__ = (
        "clock",
        "get_table",
        "placement",
        "own",
        "peers",
        "services",
        "table",
        "short_at",
    )

    def __init__(self, *, clock, get_table, placement):
        self.clock = clock
        self.get_table = get_table
        self.placement = placement
        self.own = {}
        self.peers = {}
        self.services = {}
        self.table = None
        self.short_at = None

    def note_demand(self, workspace, service, *, work):
        """Count what a request asks for, whether or not it is served.

        Parameters
        ----------
        workspace : Workspace
        service : str
        work : float
            See `hollyspan_policy.admission.measure_work`.
        """
        now = self.clock()
        key = hash_parts(workspace.name, service)
        # The newest one is the last one.
        rate = self.own.pop(key, None) or RecentRate(now=now)
        self.own[key] = rate
        rate.add(work, now=now)
        demand = self.find_service(service)
        demand.work.add(work, now=now)
        demand.requests.add(1.0, now=now)

    def find_service(self, service):
        """Return the demand for a service with the weights in force."""
        table = self.get_table()
        if table is not self.table:
            self.table = table
            self.services = {}
            now = self.clock()
            self.own = {
                key: rate
                for key, rate in self.own.items()
                if rate.measure(now=now) >= MIN_TOLD_DEMAND
            }
        demand = self.services.get(service)
        if demand is None:
            demand = self.services[service] = ServiceDemand(now=self.clock())
            for name, weight in choose_weights(table.by_name.values()).items():
                key = hash_parts(name, service)
                demand.weights[key] = weight
                demand.names[key] = name
        return demand

    def may_serve(self, workspace, service, *, work, seed):
        """Count a new request and return whether its share covers it.

        Parameters
        ----------
        workspace : Workspace
        service : str
        work : float
        seed : str
            Identifier of the request, which decides whether it is among the
            part that is served.

        Returns
        -------
        bool
        """
        self.note_demand(workspace, service, work=work)
        part = self.find_part(workspace, service)
        return part >= 1 or hash_to_fraction("share", seed) < part

    def find_part(self, workspace, service):
        """Return the part of a workspace's demand that can be served.

        Parameters
        ----------
        workspace : Workspace
        service : str

        Returns
        -------
        float
            1 while a slot is free or its share covers its demand.
        """
        demand = self.refresh(service)
        return demand.parts.get(hash_parts(workspace.name, service), 1.0)

    def is_over(self, workspace, service):
        """Return whether a workspace has just been over its share.

        Parameters
        ----------
        workspace : Workspace or None
        service : str

        Returns
        -------
        bool
            False for a request of no workspace.
        """
        if workspace is None:
            return False
        key = hash_parts(workspace.name, service)
        return key in self.refresh(service).over

    def is_short(self, service):
        """Return whether the upstreams of a service have no free slot."""
        return self.refresh(service).is_short

    def refresh(self, service):
        """Return the demand for a service, divided a short time ago."""
        demand = self.find_service(service)
        now = self.clock()
        if (
            demand.divided_at is None
            or not 0 <= now - demand.divided_at < REFRESH_S
        ):
            demand.divided_at = now
            self.divide(service, demand, now=now)
        return demand

    def choose_return_delay(self, service, *, seconds_left, seed):
        """Return after how long a refused caller may come back, in seconds."""
        return choose_return_delay(
            wait=self.find_service(service).wait,
            seconds_left=seconds_left,
            seed=seed,
        )

    def count_over(self):
        """Return the number of workspaces over their shares."""
        return len(
            {key for demand in self.services.values() for key in demand.over}
        )

    def divide(self, service, demand, *, now):
        """Divide the capacity of a service among the workspaces."""
        views = self.placement.build_views(service)
        demand.parts = {}
        over = {}
        requests = demand.requests.measure(now=now)
        roomy = list_with_room(views)
        demand.is_short = bool(views) and not has_free_slot(roomy)
        if demand.is_short and requests:
            self.short_at = now
            service_seconds = self.placement.service_seconds
            demands = self.measure_demands(demand.weights, now=now)
            work_per_request = demand.work.measure(now=now) / requests
            capacity = work_per_request * measure_request_capacity(
                views, service_seconds=service_seconds
            )
            demand.wait = min(
                estimate_wait(view, service_seconds=service_seconds)
                for view in roomy
            )
            shares = divide_capacity(
                demands,
                weights=demand.weights,
                capacity=DIVIDED_PART * capacity,
                floor_ratio=MIN_SERVED_RATIO,
            )
            spare = SPARE_REQUESTS_PER_S * work_per_request
            demand.parts = {
                key: share / demands[key]
                for key, share in shares.items()
                if share + spare < demands[key]
            }
            mean_part = sum(shares.values()) / sum(demands.values())
            over = {
                key: part
                for key, part in demand.parts.items()
                if part < EXCESS_RATIO * mean_part
            }
        self.note_over(service, demand, over, now=now)

    def measure_demands(self, weights, *, now):
        """Return the demand of each workspace over the whole fleet."""
        demands = {}
        for rates in (self.own, *self.peers.values()):
            for key, rate in rates.items():
                if key in weights:
                    demands[key] = demands.get(key, 0.0) + rate.measure(
                        now=now
                    )
        return {key: demand for key, demand in demands.items() if demand > 0}

    def note_over(self, service, demand, over, *, now):
        """Note the workspaces over their shares; log each one's start and end.

        Parameters
        ----------
        service : str
        demand : ServiceDemand
        over : dict
            Part of its demand that each of them gets, by key.
        now : float
        """
        for key, part in over.items():
            if key not in demand.over:
                eliot.log_message(
                    "workspace:over_share",
                    workspace=demand.names[key],
                    service=service,
                    served_part=round(part, 3),
                )
            demand.over[key] = now
        for key, last in list(demand.over.items()):
            if now - last > OVER_MEMORY_S:
                del demand.over[key]
                eliot.log_message(
                    "workspace:within_share",
                    workspace=demand.names[key],
                    service=service,
                )

    def list_loads(self, *, limit=MAX_LOADS_IN_FULL):
        """Return the demands to tell the peers, none while there is room.

        Parameters
        ----------
        limit : int, optional
            Number of workspaces; the newest ones go first.

        Returns
        -------
        list of WorkspaceLoad
        """
        now = self.clock()
        if self.short_at is None or now - self.short_at > SHORTAGE_MEMORY_S:
            return []
        loads = []
        for key, rate in reversed(self.own.items()):
            demand = rate.measure(now=now)
            if demand >= MIN_TOLD_DEMAND:
                loads.append(WorkspaceLoad(workspace=key, demand=demand))
            if len(loads) == limit:
                break
        return loads

    def list_newest(self):
        """Return the demands to tell with each change of load."""
        return self.list_loads(limit=MAX_LOADS_IN_CHANGE)

    def apply(self, message):
        """Record the demands that a peer tells.

        Parameters
        ----------
        message : FleetMessage
        """
        peer = build_identifier(message.sender)
        if message.is_full:
            self.peers.pop(peer, None)
        if not message.workspace_loads:
            return
        now = self.clock()
        rates = self.peers.setdefault(peer, {})
        for load in message.workspace_loads[:MAX_LOADS_IN_FULL]:
            rates[load.workspace] = RecentRate(now=now)
            rates[load.workspace].set(load.demand, now=now)

    def forget(self, live):
        """Forget the demands of the peers that are not live."""
        self.peers = {
            peer: rates for peer, rates in self.peers.items() if peer in live
        }
