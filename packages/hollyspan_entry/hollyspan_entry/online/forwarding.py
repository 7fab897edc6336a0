"""Requests that go to or come from another data centre."""

import time

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import ForwardHead
from hollyspan_core.messages import ForwardRequest
from hollyspan_policy.routing import choose_data_centre
from hollyspan_policy.routing import DataCentreView

from .choice import choose

__all__ = ["MessageSink", "forward_request"]

NEAR_ROUND_TRIP_SECONDS = 0.01
FAR_ROUND_TRIP_SECONDS = 0.1
# Expected bytes of an answer.
ANSWER_BYTES = 50_000


async def forward_request(state, request, sink, receiver):
    """Hand a request to another data centre when the own one is full.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    sink : HttpSink or alike
    receiver : StreamReceiver or alike
        Told when the first part of the answer comes.

    Returns
    -------
    bool
        True when it was answered elsewhere; False when nothing was run.

    Raises
    ------
    HollyspanError
        The request may have run elsewhere.

    Notes
    -----
    A forwarded request goes no further. A non-idempotent request stays in
    the data centre, so that the upstream in its record can be asked.
    """
    runtime = state.runtime
    if runtime.forward is None or request.forwarded or not request.idempotent:
        return False
    upstream, verdict = choose(state, request, tried=())
    if upstream is not None and not verdict.expected_wait:
        return False
    place = choose_data_centre(
        list_places(runtime),
        wait_seconds=verdict.expected_wait,
        content_bytes=len(request.body) + ANSWER_BYTES,
        seed=request.identifier,
    )
    if place is None:
        return False
    try:
        await send(runtime, request, sink, receiver, place.data_centre)
    except HollyspanError as error:
        if sink.started or not may_run_here(state, error):
            raise
        return False
    return True


def may_run_here(state, error):
    """Tell whether a request whose answer has not begun may run here.

    Only idempotent requests are handed on, so that one lost with its link
    may run again; that counts as a retry.
    """
    if error.outcome is Outcome.NOT_RUN:
        return True
    return isinstance(error, PeerUnavailableError) and state.budget.withdraw()


async def send(runtime, request, sink, receiver, data_centre):
    def start(head):
        receiver.first = time.monotonic()
        sink.start(status=head.status, content_type=head.content_type.encode())

    await runtime.forward(
        request=ForwardRequest(
            path=request.path,
            body=request.body,
            workspace=request.workspace,
            key=request.stable_key,
            deadline_seconds=request.deadline - time.monotonic(),
            streamed=request.streamed,
            online=True,
            request_id=request.identifier,
        ),
        on_head=start,
        on_data=lambda data: sink.write(data),
        data_centre=data_centre,
    )


def list_places(runtime):
    """List what the daemons of other data centres tell of their room."""
    settings = runtime.settings
    now = time.monotonic()
    places = {}
    for member in runtime.members.list_live(now=now):
        if member.data_centre == settings.data_centre:
            continue
        known = places.get(member.data_centre)
        age = now - member.last_seen
        if known is not None and known.age <= age:
            continue
        is_near = member.region == settings.region
        places[member.data_centre] = DataCentreView(
            data_centre=member.data_centre,
            free_slots=member.free_slots,
            age=age,
            round_trip=(
                NEAR_ROUND_TRIP_SECONDS if is_near else FAR_ROUND_TRIP_SECONDS
            ),
        )
    return list(places.values())


class MessageSink:
    """Sends an answer to the daemon that handed the request on.

    Parameters
    ----------
    on_head : callable
        Takes the ForwardHead.
    on_data : callable
        Takes bytes of the body.
    """

    __slots__ = ("started", "on_head", "write")

    def __init__(self, *, on_head, on_data):
        self.started = False
        self.on_head = on_head
        self.write = on_data

    def start(self, *, status, content_type, length=None):
        """Send the head of the answer."""
        self.started = True
        self.on_head(
            ForwardHead(status=status, content_type=content_type.decode())
        )

    def pace(self, reader):
        """Nothing to do: the link has its own limits."""
