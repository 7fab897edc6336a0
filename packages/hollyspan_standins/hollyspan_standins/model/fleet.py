"""A simulated fleet of gateways and engines under a load pattern."""

import itertools
import random

from hollyspan_core.workspaces import Workspace
from hollyspan_core.workspaces import WorkspaceTable
from hollyspan_gateway.upstreams import UpstreamEntry
from hollyspan_policy.ownership import choose_owner

from .clock import SimulationClock
from .engine import EngineModel
from .gateway import GatewayModel
from .request import ItemState
from .request import RequestState
from .timing import EngineTiming

__all__ = ["FleetLayout", "FleetModel", "run_fleet"]

SERVICE = "pips-lm"
# One-way delays: within a data centre, between regions, to clients.
LOCAL_DELAY_S = 0.00025
INTER_REGION_DELAY_S = 0.008
CLIENT_DELAY_S = 0.001
# Time that a client waits, and how often it retries a refused request.
DEADLINE_S = 5.0
MAX_CLIENT_RETRIES = 1
# Part of the time left up to which clients honour a retry-after time.
MAX_RETRY_DELAY_PART = 1 / 3
# Configured rate of a workspace, as a multiple of its usual requests.
RATE_FACTOR = 1.6
# Delays until all gateways have received a job or detected a lost engine.
JOB_PROPAGATION_DELAY_S = 0.05
LOSS_DETECTION_DELAY_S = 3.0
# Relative speeds assigned to the engines in turn, as on the users' sites.
ENGINE_SPEEDS = (1.0, 1.0, 1.3)
# Steps after the start of an engine that are slow, where it starts cold.
COLD_STEPS = 150
# Time after the end of the pattern in which items can still finish.
COMPLETION_PERIOD_S = 20.0


class FleetLayout:
    """Numbers of engines and gateways in each data centre.

    Parameters
    ----------
    data_centres : list of str
        Each data centre is a region of its own.
    engines, fronts : int
        Numbers in each data centre. Fronts are gateways that serve clients
        and run no items.
    workers : int
        Number of gateways in each data centre that only run items.
    """

    __slots__ = ("data_centres", "engines", "fronts", "workers")

    def __init__(self, *, data_centres, engines, fronts, workers):
        self.data_centres = data_centres
        self.engines = engines
        self.fronts = fronts
        self.workers = workers


class FleetModel:
    """The state of one simulated run.

    Parameters
    ----------
    layout : FleetLayout
    policy : RunPolicy
    seed : int

    Attributes
    ----------
    engines : dict
        EngineModel by name.
    gateways : list of GatewayModel
    requests, items : list
        RequestState and ItemState.
    messages : int
        Number of datagrams sent between gateways.
    load_errors : list of int
        Expected number of streams at an upstream, minus the number that it
        reported, for each answer.
    workspaces : WorkspaceTable or None
    flooding : collection of str
        Names of the workspaces that send more than their usual.
    fronts : dict
        Fronts of each data centre and their weights, in proportion to the
        connections that they receive.
    """

    def __init__(self, *, layout, policy, seed):
        self.layout = layout
        self.clock = SimulationClock()
        self.rng = random.Random(f"fleet/{seed}")
        self.service = SERVICE
        self.client_delay = CLIENT_DELAY_S
        self.engines = {}
        self.gateways = []
        self.requests = []
        self.items = []
        self.messages = 0
        self.load_errors = []
        self.fronts = {}
        self.workspaces = None
        self.flooding = ()
        self.add_engines()
        self.add_gateways(policy)

    def add_engines(self):
        for data_centre in self.layout.data_centres:
            for number in range(self.layout.engines):
                name = f"{data_centre}-engine-{number}"
                speed = ENGINE_SPEEDS[len(self.engines) % len(ENGINE_SPEEDS)]
                self.engines[name] = EngineModel(
                    clock=self.clock,
                    name=name,
                    data_centre=data_centre,
                    timing=EngineTiming(speed=speed),
                )

    def start_engine(self, lost, is_cold):
        """Start an engine in place of one that was lost."""
        name = f"{lost.name}-again"
        self.engines[name] = EngineModel(
            clock=self.clock,
            name=name,
            data_centre=lost.data_centre,
            timing=lost.timing,
            cold_steps=COLD_STEPS if is_cold else 0,
        )
        self.update_upstreams()

    def add_gateways(self, policy):
        for data_centre in self.layout.data_centres:
            count = self.layout.fronts + self.layout.workers
            for number in range(count):
                self.gateways.append(
                    GatewayModel(
                        fleet=self,
                        name=f"{data_centre}-{number}",
                        data_centre=data_centre,
                        policy=policy,
                        runs_batch=number >= self.layout.fronts,
                    )
                )
        self.update_upstreams()

    def update_upstreams(self):
        """Update the directories of all gateways to the live engines."""
        entries = {
            engine.name: UpstreamEntry(
                name=engine.name,
                service=SERVICE,
                address=(engine.name, 1),
                data_centre=engine.data_centre,
                slots=engine.slots,
                is_ready=True,
                started_at_ms=1,
            )
            for engine in self.engines.values()
            if not engine.is_lost
        }
        for gateway in self.gateways:
            gateway.directory.update(entries)

    def find_region(self, data_centre):
        """Return the region of a data centre, which has the same name."""
        return data_centre

    def find_delay(self, source, target):
        """Return the one-way delay between data centres, in seconds."""
        return LOCAL_DELAY_S if source == target else INTER_REGION_DELAY_S

    def list_workers(self):
        """Return the gateways that run items."""
        return [each for each in self.gateways if each.runs_batch]

    def run(self, pattern):
        """Run a load pattern and the completion period after it."""
        for arrival in pattern.arrivals:
            self.clock.call_later(arrival.at, self.start_request, arrival)
        for number, job in enumerate(pattern.jobs):
            self.clock.call_later(
                job.at + JOB_PROPAGATION_DELAY_S, self.start_job, number, job
            )
        if pattern.workspaces:
            self.workspaces = build_workspaces(pattern.workspaces)
            self.flooding = pattern.flooding
        engines = list(self.engines.values())
        for at, number in pattern.losses:
            self.clock.call_later(at, engines[number].lose)
            self.clock.call_later(
                at + LOSS_DETECTION_DELAY_S, self.update_upstreams
            )
        for engine, speed in zip(
            engines, itertools.cycle(pattern.speeds or ())
        ):
            engine.timing.speed = speed
        for at, number, contention in pattern.contention:
            if number < len(engines):
                engines[number].tells_slowness = True
                self.clock.call_later(
                    at, engines[number].set_contention, contention
                )
        for at, number, is_cold in pattern.restarts:
            self.clock.call_later(
                at, self.start_engine, engines[number], is_cold
            )
        self.fronts = {
            data_centre: self.list_weighted_fronts(data_centre, pattern.skew)
            for data_centre in self.layout.data_centres
        }
        for gateway in self.list_workers():
            self.clock.call_later(0.0, gateway.batch.start)
        self.clock.run(until=pattern.seconds + COMPLETION_PERIOD_S)

    def list_weighted_fronts(self, data_centre, skew):
        """Return the fronts of a data centre and their weights."""
        fronts = [
            each
            for each in self.gateways
            if each.data_centre == data_centre and not each.runs_batch
        ]
        return fronts, [skew, *[1.0] * (len(fronts) - 1)]

    def start_request(self, arrival):
        request = RequestState(
            key=arrival.parts[-1][0],
            arrival=arrival,
            deadline=arrival.at + DEADLINE_S,
        )
        self.requests.append(request)
        self.send_to_front(request)

    def send_to_front(self, request):
        fronts, weights = self.fronts[request.arrival.data_centre]
        (front,) = self.rng.choices(fronts, weights)
        self.clock.call_later(CLIENT_DELAY_S, front.serve, request)

    def retry_later(self, request, seconds):
        """Schedule the client's retry of a refused request, if any is left."""
        if request.client_retries >= MAX_CLIENT_RETRIES or seconds is None:
            return
        left = request.deadline - self.clock.now
        seconds = min(seconds, MAX_RETRY_DELAY_PART * left)
        if seconds >= left:
            return
        request.client_retries += 1
        request.returned_at = self.clock.now + seconds
        request.tried = set()
        request.refusals = 0
        request.end_reason = None
        self.clock.call_later(seconds, self.send_to_front, request)

    def start_job(self, number, job):
        names = [gateway.identifier for gateway in self.list_workers()]
        workers = {each.identifier: each for each in self.list_workers()}
        owned = {}
        for index, (parts, tokens) in enumerate(job.items):
            item = ItemState(
                key=f"{number}/{index}",
                parts=parts,
                tokens=tokens,
                due=job.due,
            )
            self.items.append(item)
            owned.setdefault(choose_owner(item.key, names), []).append(item)
        for name, items in owned.items():
            workers[name].batch.add(items)


def build_workspaces(usual):
    """Return the table of workspaces, each with a rate above its usual."""
    return WorkspaceTable(
        by_digest={
            name: Workspace(name=name, rate=RATE_FACTOR * rate)
            for name, rate in usual.items()
        }
    )


def run_fleet(*, layout, policy, pattern, seed):
    """Run a load pattern in a new fleet.

    Parameters
    ----------
    layout : FleetLayout
    policy : RunPolicy
    pattern : LoadPattern
    seed : int

    Returns
    -------
    FleetModel
        The fleet after the run.
    """
    fleet = FleetModel(layout=layout, policy=policy, seed=seed)
    fleet.run(pattern)
    return fleet
