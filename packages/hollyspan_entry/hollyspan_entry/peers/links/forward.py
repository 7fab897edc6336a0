"""Forwarding of online requests to another data centre."""

import time

from twisted.internet import defer

from hollyspan_core.errors import BodyTooLargeError
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.messages import build_forward_request
from hollyspan_core.messages import convert_codec_errors
from hollyspan_core.messages import PeerMessage
from hollyspan_core.messages import read_forward_head

from ..region_pair import RegionPair
from .failure import decode_failure

__all__ = ["build_forward"]

MAX_BODY_BYTES = 1_500_000


def build_forward(runtime):
    """Build the function that forwards a request to another data centre.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    callable
        Coroutine function, see `forward`.
    """

    async def forward(*, request, on_head, on_data, data_centre=None):
        """Forward a request to a daemon of another data centre.

        Parameters
        ----------
        request : ForwardRequest
        on_head : callable
            Called once with the ForwardHead.
        on_data : callable
            Called with each piece of the answer's bytes.
        data_centre : str, optional
            Data centre to forward to, even if its daemons report no free
            slots. By default, only daemons with free slots are considered;
            daemons of the same region are preferred, then those with the
            most free slots.

        Raises
        ------
        OverloadedError
            No suitable daemon of another data centre is live; nothing was
            sent.
        PeerUnavailableError
            The link failed or the peer did not answer in time; the outcome
            says whether the request was sent.
        PeerAnswerError
            The other daemon answered with a failure.
        """
        if len(request.body) > MAX_BODY_BYTES:
            raise BodyTooLargeError("the body is too large to forward")
        member = choose_member(runtime, data_centre=data_centre)
        link = await runtime.links.open(member)
        member.free_slots = max(0, member.free_slots - 1)
        await run_call(runtime, link, request, on_head, on_data)

    return forward


def choose_member(runtime, *, data_centre):
    settings = runtime.settings

    def rank(member):
        return member.region == settings.region, member.free_slots

    members = [
        member
        for member in runtime.members.list_live(
            now=time.monotonic(), data_centre=data_centre
        )
        if member.data_centre != settings.data_centre
        and (member.free_slots or data_centre)
    ]
    if not members:
        raise OverloadedError("no other data centre has free slots")
    return max(members, key=rank)


async def run_call(runtime, link, request, on_head, on_data):
    def handle_message(call, message):
        count_frame(runtime, link, link.frame_bytes, is_sent=False)
        with convert_codec_errors():
            handle_answer(call, message, on_head=on_head, on_data=on_data)

    with runtime.links.open_call(link, on_message=handle_message) as call:
        message = build_forward_request(request)
        message.call = call.number
        count_frame(runtime, link, link.send(message), is_sent=True)
        call.done.addTimeout(request.deadline_seconds, runtime.reactor)
        try:
            await call.done
        except (defer.CancelledError, defer.TimeoutError) as error:
            send_cancel(link, call)
            if isinstance(error, defer.CancelledError):
                raise
            raise PeerUnavailableError("a peer did not answer") from error


def handle_answer(call, message, *, on_head, on_data):
    kind = message.which()
    if kind == "forwardHead":
        on_head(read_forward_head(message))
    elif kind == "forwardBody":
        on_data(bytes(message.forwardBody.data))
    elif kind == "forwardEnd":
        content = bytes(message.forwardEnd.error)
        if content:
            call.fail(decode_failure(content))
        else:
            call.finish(None)
    else:
        raise PeerMessageError(f"a peer answered {kind}")


def send_cancel(link, call):
    if link.is_ended:
        return
    message = PeerMessage.new_message()
    message.call = call.number
    message.forwardCancel = None
    link.send(message)


def count_frame(runtime, link, size, *, is_sent):
    here = runtime.settings.region
    there = link.peer.region
    source, destination = (here, there) if is_sent else (there, here)
    runtime.peer_counters.count_forwarded(
        RegionPair(source=source, destination=destination), size
    )
