"""Clients of the simulation."""

from hollyspan_gateway.online import RequestHead
from hollyspan_policy.hashing import hash_parts

from ..memory import MemoryRequest
from .dialect import encode_items
from .dialect import JOB_TARGET
from .dialect import STREAM_TARGET

__all__ = ["JobClient", "StreamClient", "read_events"]

ONE_WAY_S = 0.001
RETRY_DELAY_S = 0.4
# Time after which a client closes its connection and tries again.
PATIENCE_S = 8.0
MAX_ATTEMPTS = 12
ACCEPTED_STATUS = 202


class ClientRequest(MemoryRequest):
    """Request that tells its client of the final answer.

    Parameters
    ----------
    front : GatewayProcess
    on_final : callable
        Called once with this request.
    """

    def __init__(self, *, front, on_final, body, identifier):
        super().__init__(reactor=front.clock, body=body, identifier=identifier)
        self.front = front
        self.on_final = on_final

    def conclude(self):
        self.front.requests.pop(self, None)
        on_final, self.on_final = self.on_final, None
        if on_final is not None:
            self.front.world.clock.callLater(ONE_WAY_S, on_final, self)

    def end(self):
        super().end()
        self.conclude()

    def abort(self):
        super().abort()
        self.conclude()

    def lose(self):
        """Lose the connection, since the gateway's process has ended."""
        self.is_open = False
        self.is_aborted = True
        self.conclude()

    def give_up(self):
        """Close the connection from the client's side."""
        if self.on_final is None:
            return
        self.is_open = False
        self.is_aborted = True
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        self.conclude()
        if on_disconnect is not None:
            self.front.clock.callLater(ONE_WAY_S, on_disconnect)


class Client:
    """Sends one request until it is answered, at any front.

    Parameters
    ----------
    world : World
    name : str
    """

    def __init__(self, *, world, name):
        self.world = world
        self.name = name
        self.attempts = 0
        self.is_done = False

    def send(self):
        """Send the request, or its rest, at one of the fronts."""
        front = self.world.pick_front()
        if front is None or self.attempts >= MAX_ATTEMPTS:
            self.is_done = front is not None
            if front is None:
                self.world.clock.callLater(RETRY_DELAY_S, self.send)
            return
        self.attempts += 1
        request = ClientRequest(
            front=front,
            on_final=self.handle_final,
            body=self.build_body(),
            identifier=self.build_identifier(),
        )
        front.clock.callLater(
            ONE_WAY_S, front.serve, request, self.build_head(request)
        )
        self.world.clock.callLater(PATIENCE_S, request.give_up)

    def retry(self):
        self.world.clock.callLater(RETRY_DELAY_S, self.send)


class JobClient(Client):
    """Submits a job.

    Parameters
    ----------
    plan : JobPlan

    Attributes
    ----------
    accepted_at : float or None
    """

    def __init__(self, *, world, plan):
        super().__init__(world=world, name=plan.name)
        self.plan = plan
        self.accepted_at = None

    def list_items(self):
        return [f"{self.name}i{number}" for number in range(self.plan.items)]

    def build_body(self):
        return encode_items(
            {name: self.plan.parts for name in self.list_items()}
        )

    def build_identifier(self):
        return self.name

    def build_head(self, request):
        return build_head(self.name, target=JOB_TARGET)

    def handle_final(self, request):
        if request.status == ACCEPTED_STATUS:
            self.is_done = True
            self.accepted_at = self.world.clock.now
            self.world.note("accepted", self.name)
            return
        self.retry()


class StreamClient(Client):
    """Reads a stream of events, over several requests if need be.

    Parameters
    ----------
    parts : tuple of int
    count : int
        Length of the whole answer.

    Attributes
    ----------
    received : list of (int, str)
        Number and text of the events, in order.
    is_whole : bool
        True once an answer has told that it is complete.
    """

    def __init__(self, *, world, name, parts, count):
        super().__init__(world=world, name=name)
        self.parts = parts
        self.count = count
        self.received = []
        self.first_identifier = None
        self.is_whole = False

    def build_body(self):
        return b"{}"

    def build_identifier(self):
        return f"{self.name}~{self.attempts}"

    def build_head(self, request):
        return build_head(
            request.identifier,
            target=STREAM_TARGET,
            resume_after=self.received[-1][0] if self.received else None,
            resumes=self.first_identifier,
            shared_parts=self.parts,
            fingerprint=hash_parts(self.name),
        )

    def handle_final(self, request):
        if request.status == 200:
            events = read_events(request.written)
            if events and not self.received:
                self.first_identifier = request.identifier
            self.received += events
            self.is_whole = request.is_ended
        self.is_done = self.is_whole
        if not self.is_whole:
            self.retry()


def build_head(identifier, *, target, **values):
    """Build the head of a client's request."""
    defaults = {
        "resume_after": None,
        "resumes": None,
        "shared_parts": (),
        "fingerprint": hash_parts(identifier),
    }
    return RequestHead(
        identifier=identifier,
        host="h",
        method=b"POST",
        target=target,
        deadline_seconds=None,
        prompt_tokens=0,
        output_tokens=0,
        forwarded=[],
        **{**defaults, **values},
    )


def read_events(content):
    """Return number and text of the complete events of an answer."""
    events = []
    for block in content.split(b"\n\n")[:-1]:
        number, _, text = block.decode().partition("\ndata: ")
        events.append((int(number.removeprefix("id: ")), text))
    return events
