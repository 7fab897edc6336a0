"""Running of a stream on one upstream."""

from hollyspan_core.errors import StreamCancelledError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamUnavailableError

from .cancellation import send_cancel
from .streamrun import StreamRun

__all__ = ["run_stream"]

FIRST_EVENT_TRIES = 5


async def run_stream(
    *,
    runtime,
    upstream,
    path,
    body,
    stream_id,
    key,
    request_class,
    on_event,
    offset=0,
    idle_timeout,
    resume=False,
    on_connection=None,
    first_event_tries=FIRST_EVENT_TRIES,
    cancel_broken=False,
):
    """Run a stream on one upstream until it is whole.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    path : str
        Path of the request at the engine.
    body : dict or bytes
        The request. A dict is sent with ``stream`` set and asks for usage;
        bytes are sent as they are. Not used on a resume.
    stream_id : str
        Identifier of this attempt.
    key : str
        Stable key of the request or item.
    request_class : str
        ``online`` or ``batch``.
    on_event : callable
        Called with the offset and the data (bytes) of each event, once an
        offset and in order.
    offset : int, optional
        Events that the receiver has already; above 0 the stream is resumed.
    idle_timeout : float
        Seconds without bytes after which the connection counts as broken.
    resume : bool, optional
        Resume at `offset` even when it is 0.
    on_connection : callable, optional
        Called with an IPushProducer for each connection that is read, so
        that a slow receiver can pause it.
    cancel_broken : bool, optional
        Cancel the stream when its connection breaks, in place of a resume.

    Raises
    ------
    UpstreamUnavailableError
        No connection; ``not_run`` when nothing can have reached the engine.
    UpstreamLeavingError
        The engine takes no new work; nothing was run.
    UpstreamAnswerError
        The engine answered with an error, or sent one in mid-stream.
    StreamLostError
        The engine no longer knows the stream, or cannot be reached for the
        rest of it.
    StreamCancelledError
        The connection broke and the stream was cancelled; the engine can
        resume it.
    StreamMalformedError
        The bytes are no event stream.

    Notes
    -----
    A broken connection is resumed at the offset on the same upstream.
    Cancelling the awaiting Deferred closes the connection and sends a
    cancel to the engine.
    """
    run = StreamRun(
        runtime=runtime,
        upstream=upstream,
        stream_id=stream_id,
        key=key,
        request_class=request_class,
        on_event=on_event,
        offset=offset,
        idle_timeout=idle_timeout,
        on_connection=on_connection,
        first_event_tries=first_event_tries,
        cancel_broken=cancel_broken,
    )
    response = None
    try:
        if not (resume or offset):
            response = await run.start(path, body)
        await run.follow(response)
    except (
        StreamCancelledError,
        StreamLostError,
        UpstreamAnswerError,
        UpstreamUnavailableError,
    ):
        raise
    except BaseException:
        send_cancel(runtime, upstream=upstream, stream_id=stream_id)
        raise
