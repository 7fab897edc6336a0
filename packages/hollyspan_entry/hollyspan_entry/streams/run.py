"""Execution of a stream on one upstream."""

import contextlib

from hollyspan_core.errors import StreamCancelledError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamUnavailableError

from ..intake.keeping import open_keeping
from ..intake.limits import EVENTS_KEPT
from ..intake.limits import KEPT_STREAM
from .cancellation import send_cancel
from .stream_run import StreamRun

__all__ = ["run_stream"]

MAX_INITIAL_RESUMES = 5


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
    max_initial_resumes=MAX_INITIAL_RESUMES,
    cancel_on_break=False,
    is_kept=True,
):
    """Run a stream on one upstream until it is complete.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    path : str
        Path of the request at the engine.
    body : dict or bytes
        The request. A dict is sent as JSON with ``stream`` set and with
        ``include_usage`` in the stream options; bytes are sent unchanged.
        Not used when resuming.
    stream_id : str
        Identifier of this attempt.
    key : str
        Stable key of the request or item.
    request_class : str
        ``online`` or ``batch``.
    on_event : callable
        Called with the offset and the data (bytes) of each event, once per
        offset and in order.
    offset : int, optional
        Number of events already received; above 0 the stream is resumed.
    idle_timeout : float
        Seconds without bytes after which the connection is considered
        broken.
    resume : bool, optional
        Resume at `offset` even when it is 0.
    on_connection : callable, optional
        Called with an IPushProducer for each connection that is read, so
        that a slow receiver can pause it.
    max_initial_resumes : int, optional
        Maximum number of consecutive unanswered resumes before the first
        event.
    cancel_on_break : bool, optional
        Cancel the stream when its connection breaks instead of resuming it.
    is_kept : bool, optional
        False when `on_event` passes the events on and keeps none.

    Raises
    ------
    UpstreamUnavailableError
        The connection failed. The outcome is ``not_run`` when nothing can
        have reached the engine.
    UpstreamLeavingError
        The engine accepts no new work; nothing was run.
    UpstreamAnswerError
        The engine answered with an error, or sent one in mid-stream.
    StreamLostError
        The engine no longer knows the stream, or cannot be reached to resume
        it.
    StreamCancelledError
        The connection broke and the stream was cancelled; the engine can
        resume it.
    IntakeExceededError
        The stream sends more than may be read, or kept, of it.
    StreamMalformedError
        The bytes are not a valid event stream.

    Notes
    -----
    After a broken connection the stream is resumed at its offset on the same
    upstream. Cancelling the awaiting Deferred closes the connection and
    cancels the stream at the engine.
    """
    response = None
    try:
        with open_event_keeping(upstream, is_kept=is_kept) as keep:
            run = StreamRun(
                runtime=runtime,
                upstream=upstream,
                stream_id=stream_id,
                key=key,
                request_class=request_class,
                on_event=on_event,
                keep=keep,
                offset=offset,
                idle_timeout=idle_timeout,
                on_connection=on_connection,
                max_initial_resumes=max_initial_resumes,
                cancel_on_break=cancel_on_break,
            )
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


def open_event_keeping(upstream, *, is_kept):
    """Return the context in which the events of a stream are counted."""
    if not is_kept:
        return contextlib.nullcontext(lambda size: None)
    return open_keeping(
        limits=KEPT_STREAM, budget=EVENTS_KEPT, sender=upstream.name
    )
