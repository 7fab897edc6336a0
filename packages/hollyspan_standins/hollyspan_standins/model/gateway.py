"""A gateway whose decisions are the product's and whose I/O is simulated."""

from contextlib import ExitStack

from hollyspan_core.errors import OverloadedError
from hollyspan_gateway.online.held import LOOK_S
from hollyspan_gateway.online.held import MOST_HELD
from hollyspan_gateway.online.relay import FIRST_EVENT_S
from hollyspan_gateway.upstreams import BatchPlacement
from hollyspan_gateway.upstreams import Directory
from hollyspan_gateway.upstreams import Placement
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import choose_audience
from hollyspan_policy.membership import choose_beat_seconds
from hollyspan_policy.membership import choose_gathering
from hollyspan_policy.membership import is_small_fleet

from .batch import BatchRunner
from .policies import View
from .stream import EngineStream

__all__ = ["GatewayModel"]

# Seconds in which the first event is due, of the users' sheets.
AIM_S = 0.3
# Upstreams that may refuse a request before it is refused.
MAX_REFUSALS = 3
# Upstreams that may run a request.
MAX_SENDS = 2
# Seconds between two questions whether a silent upstream is left.
STALL_CHECK_S = 0.05


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
    held : list of RequestState
        Requests that wait here for a slot.
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
        )
        self.placement = Placement(
            reactor=fleet.clock,
            directory=self.directory,
            data_centre=data_centre,
            find_region=fleet.find_region,
            knows_remote=lambda: is_small_fleet(len(fleet.gateways)),
            on_change=self.note_load,
        )
        self.batch_placement = BatchPlacement(
            placement=self.placement, gateway=name
        )
        self.batch = BatchRunner(gateway=self)
        self.changed = {}
        self.online_changed = set()
        self.is_flushing = False
        self.held = []

    def find_rank(self, upstream):
        """Return this gateway's place among those that run items there."""
        order = sorted(
            (
                gateway.region != upstream.region,
                hash_parts(upstream.entry.name, gateway.identifier),
                gateway.identifier,
            )
            for gateway in self.fleet.list_workers()
        )
        names = [name for _, _, name in order]
        return names.index(self.identifier), len(names)

    def note_load(self, upstream, *, is_batch_only):
        """Tell the others of a change of load, and stop items for it."""
        name = upstream.entry.name
        self.changed[name] = upstream
        if not is_batch_only:
            self.online_changed.add(name)
        if not self.is_flushing and self.policy.view is not View.REPORTS:
            self.is_flushing = True
            self.clock.call_later(self.choose_wait(), self.flush)
        self.batch.make_room(upstream)

    def choose_wait(self):
        """Return how long a change waits until it is told, seconds."""
        count = len(self.fleet.gateways)
        if self.policy.view is View.EXACT:
            return 0.0
        if self.policy.view is View.HEARTBEATS:
            return choose_beat_seconds(count)
        return choose_gathering(count)

    def find_delay(self, other):
        """Return the seconds in which word reaches another gateway."""
        if self.policy.view is View.EXACT:
            return 0.0
        return self.fleet.find_delay(self.data_centre, other.data_centre)

    def flush(self):
        """Send the changed loads."""
        self.is_flushing = False
        changed, self.changed = self.changed, {}
        online_changed, self.online_changed = self.online_changed, set()
        others = [each for each in self.fleet.gateways if each is not self]
        for name, upstream in changed.items():
            report, upstream.news = upstream.news, None
            if self.policy.view is View.HEARTBEATS:
                report = None
            load = (upstream.online, upstream.batch)
            audience = choose_audience(
                others,
                region=upstream.region,
                holders={
                    each
                    for each in others
                    if upstream.peers.get(each.identifier, (0, 0))[1]
                },
                is_batch_only=name not in online_changed,
            )
            for other in audience:
                self.fleet.messages += 1
                self.clock.call_later(
                    self.find_delay(other),
                    other.take_told,
                    self.identifier,
                    name,
                    load,
                    report,
                )

    def take_told(self, sender, name, load, report):
        """Take in what another gateway tells of an upstream."""
        upstream = self.directory.upstreams.get(name)
        if upstream is None:
            return
        upstream.take_told(sender, load)
        if report is not None:
            upstream.take_report(*report, now=self.clock.now)
        self.batch.make_room(upstream)

    def serve(self, request):
        """Send a request to an upstream, hold it or refuse it."""
        is_new = not request.sends and request.first_at is None
        has_room = len(self.held) < MOST_HELD
        if is_new and has_room and self.must_hold(request):
            self.held.append(request)
            if len(self.held) == 1:
                self.clock.call_later(LOOK_S, self.look)
            return
        self.send(request)

    def must_hold(self, request):
        return self.policy.holds and self.placement.must_hold(
            self.service,
            seconds_to_aim=request.arrived + AIM_S - self.clock.now,
            seconds_left=request.until - self.clock.now,
        )

    def look(self):
        """Let the next request that is held go if it may."""
        request = min(self.held, key=lambda held: held.until)
        if not self.must_hold(request):
            self.held.remove(request)
            self.send(request)
        if self.held:
            self.clock.call_later(LOOK_S, self.look)

    def send(self, request):
        """Send a request to an upstream, or refuse it."""
        try:
            upstream = self.policy.choose_online(
                self,
                request.key,
                request.tried,
                request.until - self.clock.now,
            )
        except OverloadedError as refusal:
            self.refuse(request, refusal.retry_after)
            return
        request.tried.add(upstream.entry.name)
        request.sends += 1
        request.sent_at = self.clock.now
        request.belief = upstream.count_online() + upstream.count_batch()
        request.belief += upstream.hidden
        wait = self.placement.estimate_wait(upstream)
        holds = ExitStack()
        holds.enter_context(self.placement.hold_online(upstream))
        delay = self.fleet.find_delay(
            self.data_centre, upstream.entry.data_centre
        )
        attempt = Attempt(
            gateway=self,
            request=request,
            upstream=upstream,
            holds=holds,
            delay=delay,
        )
        engine = self.fleet.engines[upstream.entry.name]
        self.clock.call_later(delay, engine.submit, attempt.stream)
        self.clock.call_later(FIRST_EVENT_S + wait, attempt.check_first)
        self.clock.call_later(
            max(0.0, request.until - self.clock.now), attempt.give_up
        )

    def refuse(self, request, retry_after):
        """Refuse a request that has not run, or give a broken one up."""
        if request.first_at is not None or request.sends:
            request.ended = "lost"
            return
        request.ended = "refused"
        self.fleet.return_later(request, retry_after)


class Attempt:
    """One send of an online request.

    Parameters
    ----------
    gateway : GatewayModel
    request : RequestState
    upstream : Upstream
    holds : ExitStack
        Counts the request at the upstream until it is closed.
    delay : float
        Seconds to the upstream.
    """

    __slots__ = (
        "gateway",
        "request",
        "upstream",
        "holds",
        "delay",
        "stream",
        "has_event",
        "is_over",
    )

    def __init__(self, *, gateway, request, upstream, holds, delay):
        self.gateway = gateway
        self.request = request
        self.upstream = upstream
        self.holds = holds
        self.delay = delay
        self.has_event = False
        self.is_over = False
        self.stream = EngineStream(
            parts=request.arrival.parts,
            tokens=request.arrival.tokens,
            done=request.done,
            on_event=self.pass_event,
            on_end=self.pass_end,
        )

    def pass_event(self, stream):
        engine = self.gateway.fleet.engines[self.upstream.entry.name]
        self.gateway.clock.call_later(
            self.delay, self.take_event, stream.generated, engine.load
        )

    def pass_end(self, stream, reason):
        self.gateway.clock.call_later(self.delay, self.take_end, reason)

    def take_event(self, generated, load):
        """Take an event on the way to the client."""
        if self.is_over:
            return
        if not self.has_event:
            self.has_event = True
            self.gateway.fleet.note_report(self, load)
        now = self.gateway.clock.now + self.gateway.fleet.client_delay
        self.request.take_event(generated, now=now)

    def take_end(self, reason):
        """Take the end of the answer, of whichever kind."""
        if self.is_over:
            return
        self.end()
        request = self.request
        if reason == "finished":
            request.ended = "answered"
            self.gateway.directory.note_success(self.upstream)
        elif reason == "refused":
            request.sends -= 1
            request.refusals += 1
            self.gateway.directory.note_failure(self.upstream)
            if request.refusals <= MAX_REFUSALS:
                self.gateway.serve(request)
            else:
                key = request.key
                self.gateway.refuse(
                    request, self.gateway.placement.choose_retry_after(key)
                )
        else:
            self.gateway.directory.note_failure(self.upstream)
            self.move()

    def move(self):
        """Go on at another upstream."""
        if self.request.sends < MAX_SENDS:
            self.gateway.serve(self.request)
        else:
            self.request.ended = "lost"

    def check_first(self):
        """Leave an upstream that is silent for too long."""
        if self.is_over or self.has_event:
            return
        is_better = self.gateway.placement.has_better(
            self.upstream, excluded=self.request.tried
        )
        if self.request.sends < MAX_SENDS and is_better:
            self.end()
            self.cancel()
            self.move()
        else:
            self.gateway.clock.call_later(STALL_CHECK_S, self.check_first)

    def give_up(self):
        """End a request whose time is over."""
        if not self.is_over:
            self.end()
            self.cancel()
            self.request.ended = "given_up"

    def cancel(self):
        engine = self.gateway.fleet.engines[self.upstream.entry.name]
        self.gateway.clock.call_later(self.delay, engine.remove, self.stream)

    def end(self):
        self.is_over = True
        self.holds.close()
