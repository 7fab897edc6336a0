"""A simulated fleet of gateways and engines under a load pattern."""

import random

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
# One way, seconds: within a data centre, between regions, to clients.
LOCAL_S = 0.00025
REMOTE_S = 0.008
CLIENT_S = 0.001
# Wait of a client, seconds, and returns after a refusal.
DEADLINE_S = 5.0
RETURNS = 1
# Seconds until all gateways know of a job or of a loss.
WORD_S = 0.05
LOSS_WORD_S = 3.0
# Speeds of the engines in turn, as on the users' sites.
SPEEDS = (1.0, 1.0, 1.3)
# Seconds after the pattern in which items are still finished.
TAIL_S = 20.0


class FleetLayout:
    """How many of what stand where.

    Parameters
    ----------
    data_centres : list of str
        Each one is a region of its own.
    engines, fronts : int
        In each data centre. Fronts serve clients and run no items.
    workers : int
        Gateways in each data centre that run items only.
    """

    __slots__ = ("data_centres", "engines", "fronts", "workers")

    def __init__(self, *, data_centres, engines, fronts, workers):
        self.data_centres = data_centres
        self.engines = engines
        self.fronts = fronts
        self.workers = workers


class FleetModel:
    """All that one run simulates.

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
        Datagrams between gateways.
    errors : list of int
        Streams believed to be at an upstream less those that it reported.
    fronts : dict
        Fronts of each data centre and their shares of its connections.
    """

    def __init__(self, *, layout, policy, seed):
        self.layout = layout
        self.clock = SimulationClock()
        self.chance = random.Random(f"fleet/{seed}")
        self.service = SERVICE
        self.client_delay = CLIENT_S
        self.engines = {}
        self.gateways = []
        self.requests = []
        self.items = []
        self.messages = 0
        self.errors = []
        self.fronts = {}
        self.add_engines()
        self.add_gateways(policy)

    def add_engines(self):
        for data_centre in self.layout.data_centres:
            for number in range(self.layout.engines):
                name = f"{data_centre}-engine-{number}"
                speed = SPEEDS[len(self.engines) % len(SPEEDS)]
                self.engines[name] = EngineModel(
                    clock=self.clock,
                    name=name,
                    data_centre=data_centre,
                    timing=EngineTiming(speed=speed),
                )

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
        self.tell_upstreams()

    def tell_upstreams(self):
        """Let all gateways know of the engines that live."""
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
        """Return the region of a data centre, which is the same here."""
        return data_centre

    def find_delay(self, source, target):
        """Return the seconds from one data centre to another."""
        return LOCAL_S if source == target else REMOTE_S

    def list_workers(self):
        """Return the gateways that run items."""
        return [each for each in self.gateways if each.runs_batch]

    def run(self, pattern):
        """Run a load pattern to its end."""
        for arrival in pattern.arrivals:
            self.clock.call_later(arrival.at, self.open_request, arrival)
        for number, job in enumerate(pattern.jobs):
            self.clock.call_later(job.at + WORD_S, self.open_job, number, job)
        engines = list(self.engines.values())
        for at, number in pattern.losses:
            self.clock.call_later(at, engines[number].lose)
            self.clock.call_later(at + LOSS_WORD_S, self.tell_upstreams)
        self.fronts = {
            data_centre: self.weigh_fronts(data_centre, pattern.skew)
            for data_centre in self.layout.data_centres
        }
        for gateway in self.list_workers():
            self.clock.call_later(0.0, gateway.batch.start)
        self.clock.run(until=pattern.seconds + TAIL_S)

    def weigh_fronts(self, data_centre, skew):
        """Return the fronts of a data centre, and their shares."""
        fronts = [
            each
            for each in self.gateways
            if each.data_centre == data_centre and not each.runs_batch
        ]
        return fronts, [skew, *[1.0] * (len(fronts) - 1)]

    def open_request(self, arrival):
        request = RequestState(
            key=arrival.parts[-1][0],
            arrival=arrival,
            until=arrival.at + DEADLINE_S,
        )
        self.requests.append(request)
        self.send_to_front(request)

    def send_to_front(self, request):
        fronts, weights = self.fronts[request.arrival.data_centre]
        (front,) = self.chance.choices(fronts, weights)
        self.clock.call_later(CLIENT_S, front.serve, request)

    def return_later(self, request, seconds):
        """Let the client of a refused request come back once."""
        if request.returns >= RETURNS or seconds is None:
            return
        if self.clock.now + seconds >= request.until:
            return
        request.returns += 1
        request.tried = set()
        request.refusals = 0
        request.ended = None
        self.clock.call_later(seconds, self.send_to_front, request)

    def open_job(self, number, job):
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


def run_fleet(*, layout, policy, pattern, seed):
    """Run a load pattern through a fresh fleet.

    Parameters
    ----------
    layout : FleetLayout
    policy : RunPolicy
    pattern : LoadPattern
    seed : int

    Returns
    -------
    FleetModel
        After the run.
    """
    fleet = FleetModel(layout=layout, policy=policy, seed=seed)
    fleet.run(pattern)
    return fleet
