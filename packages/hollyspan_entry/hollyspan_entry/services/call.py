"""Call to an instance of a plain service."""

import time

from hollyspan_core.errors import StreamMalformedError
from hollyspan_core.errors import UpstreamLeavingError

from ..once import Answer
from ..upstreams.call import open_response
from ..upstreams.call import read_content
from ..upstreams.state import is_leaving_answer

__all__ = ["AnswerReceiver", "call_service"]

DEFAULT_CONTENT_TYPE = b"application/octet-stream"
# Lower bound of the call timeout, so that a request can still be sent when
# its deadline has nearly passed.
MIN_TIMEOUT_S = 0.05
# Statuses of final answers, as in RFC 9110.
FINAL_STATUSES = range(200, 600)


class AnswerReceiver:
    """Holds the answer of the successful call.

    Attributes
    ----------
    answer : Answer or None
        None until a call has succeeded.
    """

    __slots__ = ("answer",)

    delivered = False

    def __init__(self):
        self.answer = None

    def reset(self):
        """Prepare for another attempt; there is nothing to discard."""


async def call_service(state, request, receiver, upstream, stream_id):
    """Call one instance; the call is counted as load while it lasts.

    Parameters
    ----------
    state : OnlineState
    request : ServiceRequest
    receiver : AnswerReceiver
    upstream : Upstream
    stream_id : str
        Not used; services have no streams.

    Raises
    ------
    UpstreamUnavailableError
        The call failed. The outcome is ``not_run`` when nothing can have
        reached the instance.
    UpstreamLeavingError
        The instance accepts no new work; nothing was run.
    """
    runtime = state.runtime
    runtime.upstreams.change_online_in_flight(upstream, 1)
    started = time.monotonic()
    try:
        receiver.answer = await send_request(runtime, request, upstream)
    finally:
        runtime.upstreams.change_online_in_flight(upstream, -1)
    state.observe_service_time(request.service, time.monotonic() - started)


async def send_request(runtime, request, upstream):
    """Send the request to an upstream and return its answer."""
    remaining_s = request.deadline - time.monotonic()
    timeout = max(MIN_TIMEOUT_S, remaining_s)
    response = await open_response(
        runtime=runtime,
        upstream=upstream,
        method=request.method.encode(),
        path=request.path,
        headers={
            **request.headers,
            b"X-Request-Key": request.stable_key.encode(),
        },
        body=request.body or None,
        timeout=timeout,
    )
    content = await read_content(
        response,
        runtime=runtime,
        upstream=upstream,
        timeout=timeout,
    )
    if response.code not in FINAL_STATUSES:
        raise StreamMalformedError(
            f"{response.code} is no status of an answer"
        )
    if is_leaving_answer(upstream, status=response.code, body=content):
        runtime.upstreams.mark_leaving(upstream.name)
        raise UpstreamLeavingError(f"{upstream.name} is leaving")
    types = response.headers.getRawHeaders(b"content-type") or [
        DEFAULT_CONTENT_TYPE
    ]
    return Answer(
        status=response.code,
        content_type=types[-1].decode("latin-1"),
        body=content,
    )
