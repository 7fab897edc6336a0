"""Forwarding of requests to other data centres."""

import time

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import ForwardHead
from hollyspan_core.messages import ForwardRequest
from hollyspan_policy.routing import choose_data_centre
from hollyspan_policy.routing import DataCentreView

from .choice import choose_local_upstream

__all__ = ["MessageSink", "forward_request"]

SAME_REGION_ROUND_TRIP_S = 0.01
OTHER_REGION_ROUND_TRIP_S = 0.1
# Expected size of an answer in bytes.
EXPECTED_ANSWER_BYTES = 50_000


async def forward_request(state, request, sink, receiver):
    """Forward a request to another data centre when the local one is full.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    sink : HttpSink or MessageSink
        Destination of the answer.
    receiver : StreamReceiver or WholeReceiver
        Records when the first part of the answer arrives.

    Returns
    -------
    bool
        True when another data centre answered; False when the request is to
        run locally.

    Raises
    ------
    HollyspanError
        The request may have run in the other data centre.

    Notes
    -----
    A forwarded request is not forwarded again. A non-idempotent request
    stays in the local data centre, so that its stream can be resumed at the
    upstream named in its record.
    """
    runtime = state.runtime
    if runtime.forward is None or request.forwarded or not request.idempotent:
        return False
    upstream, decision = choose_local_upstream(state, request, tried=())
    if upstream is not None and not decision.expected_wait:
        return False
    target = choose_data_centre(
        list_data_centres(runtime),
        wait_seconds=decision.expected_wait,
        content_bytes=len(request.body) + EXPECTED_ANSWER_BYTES,
        seed=request.identifier,
    )
    if target is None:
        return False
    try:
        await send_forward(
            runtime, request, sink, receiver, target.data_centre
        )
    except HollyspanError as error:
        if sink.started or not may_run_locally(state, error):
            raise
        return False
    return True


def may_run_locally(state, error):
    """Return whether a request may run locally after a failed forward.

    Only idempotent requests are forwarded, so a request lost with its peer
    connection may run again. Such a rerun counts as a retry.
    """
    if error.outcome is Outcome.NOT_RUN:
        return True
    return isinstance(error, PeerUnavailableError) and state.budget.withdraw()


async def send_forward(runtime, request, sink, receiver, data_centre):
    """Send a request to another data centre and relay its answer."""

    def start(head):
        receiver.first_event_at = time.monotonic()
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


def list_data_centres(runtime):
    """List the other data centres with their latest reported headroom."""
    settings = runtime.settings
    now = time.monotonic()
    views = {}
    for member in runtime.members.list_live(now=now):
        if member.data_centre == settings.data_centre:
            continue
        existing = views.get(member.data_centre)
        age = now - member.last_seen
        if existing is not None and existing.age <= age:
            continue
        is_same_region = member.region == settings.region
        views[member.data_centre] = DataCentreView(
            data_centre=member.data_centre,
            free_slots=member.free_slots,
            age=age,
            round_trip=(
                SAME_REGION_ROUND_TRIP_S
                if is_same_region
                else OTHER_REGION_ROUND_TRIP_S
            ),
        )
    return list(views.values())


class MessageSink:
    """Sends an answer back to the daemon that forwarded the request.

    Parameters
    ----------
    on_head : callable
        Called with the ForwardHead.
    on_data : callable
        Called with bytes of the body.

    Attributes
    ----------
    started : bool
        True once the head of the answer was sent.
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

    def apply_backpressure(self, reader):
        """Do nothing; the peer connection has its own flow control."""
