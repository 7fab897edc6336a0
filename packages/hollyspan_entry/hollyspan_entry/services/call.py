"""One call to an instance of a plain service."""

import time

from hollyspan_core.errors import UpstreamLeavingError

from ..once import Answer
from ..upstreams.call import open_response
from ..upstreams.call import read_content
from ..upstreams.state import is_leaving_answer

__all__ = ["AnswerReceiver", "call_service"]

DEFAULT_TYPE = b"application/octet-stream"
# A deadline that has nearly passed still leaves this to send a request.
LEAST_TIMEOUT_SECONDS = 0.05


class AnswerReceiver:
    """Holds the answer of the call that succeeded.

    Attributes
    ----------
    answer : Answer or None
    """

    __slots__ = ("answer",)

    delivered = False

    def __init__(self):
        self.answer = None

    def reset(self):
        """Prepare for a further call."""


async def call_service(state, request, receiver, upstream, stream_id):
    """Call one instance and count it as load while the call lasts.

    Parameters
    ----------
    state : OnlineState
    request : ServiceRequest
    receiver : AnswerReceiver
    upstream : Upstream
    stream_id : str
        Not used; services know no streams.

    Raises
    ------
    UpstreamUnavailableError
        ``not_run`` when nothing can have reached the instance.
    UpstreamLeavingError
        The instance takes no new work; nothing was run.
    """
    runtime = state.runtime
    runtime.upstreams.change_online(upstream, 1)
    started = time.monotonic()
    try:
        receiver.answer = await exchange(runtime, request, upstream)
    finally:
        runtime.upstreams.change_online(upstream, -1)
    state.observe_service(request.service, time.monotonic() - started)


async def exchange(runtime, request, upstream):
    left = request.deadline - time.monotonic()
    timeout = max(LEAST_TIMEOUT_SECONDS, left)
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
        response, runtime=runtime, upstream=upstream, timeout=timeout
    )
    if is_leaving_answer(upstream, status=response.code, body=content):
        runtime.upstreams.mark_leaving(upstream.name)
        raise UpstreamLeavingError(f"{upstream.name} is leaving")
    types = response.headers.getRawHeaders(b"content-type") or [DEFAULT_TYPE]
    return Answer(
        status=response.code,
        content_type=types[-1].decode("latin-1"),
        body=content,
    )
