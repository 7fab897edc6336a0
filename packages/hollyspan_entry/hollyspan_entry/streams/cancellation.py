"""Cancellation of streams at engines."""

import json

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers

from hollyspan_core.errors import IntakeExceededError

from ..http import BytesProducer
from ..intake import collect_body
from ..intake.limits import CONTROL_KEPT
from ..intake.limits import ORDER_ANSWER

__all__ = ["cancel_stream", "send_cancel"]

MAX_CANCEL_ATTEMPTS = 3
# Failures of a call to an upstream, other than a malformed answer.
CALL_FAILURES = (
    defer.TimeoutError,
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionDone,
    error.ConnectionLost,
    client.ResponseFailed,
    client.RequestTransmissionFailed,
)


async def cancel_stream(*, runtime, upstream, stream_id):
    """Stop a stream at its engine and free its slot.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    stream_id : str

    Returns
    -------
    int or None
        Number of events that the engine sent before the cancellation; None
        when the engine does not know the stream or cannot be reached.
    """
    for _ in range(MAX_CANCEL_ATTEMPTS):
        work = defer.ensureDeferred(
            post_cancel(runtime, upstream=upstream, stream_id=stream_id)
        )
        work.addTimeout(runtime.settings.timing.order_timeout, runtime.reactor)
        try:
            return await work
        except CALL_FAILURES:
            continue
        except (
            IntakeExceededError,
            KeyError,
            OverflowError,
            RecursionError,
            TypeError,
            ValueError,
        ):
            return None
    return None


async def post_cancel(runtime, *, upstream, stream_id):
    """Send one cancel request and return the offset in its answer."""
    response = await runtime.agent.request(
        b"POST",
        f"{upstream.url}/v1/streams/{stream_id}/cancel".encode(),
        http_headers.Headers({b"content-type": [b"application/json"]}),
        BytesProducer(content=b"{}"),
    )
    content = await collect_body(
        response,
        limits=ORDER_ANSWER,
        budget=CONTROL_KEPT,
        sender=upstream.name,
    )
    if response.code != 200:
        return None
    return int(json.loads(content)["offset"])


def send_cancel(runtime, *, upstream, stream_id):
    """Cancel a stream without waiting for the answer."""
    defer.ensureDeferred(
        cancel_stream(runtime=runtime, upstream=upstream, stream_id=stream_id)
    )
