"""Non-idempotent requests for models."""

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError

from ..once import build_once_key
from ..once import digest_body
from ..once import run_once
from ..streams import run_stream
from .attempts import run_attempts
from .attempts import STREAM_IDLE_TIMEOUT_S
from .receivers import StreamReceiver
from .recording import RecordingReceiver
from .translation import build_error_answer

__all__ = ["answer_once"]

MIN_ERROR_STATUS = 400


async def answer_once(state, request, sink):
    """Answer a non-idempotent request.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    sink : HttpSink or MessageSink
        Destination of the answer.

    Returns
    -------
    RecordingReceiver
        Holds the events received from the engine.

    Raises
    ------
    HollyspanError
        The request failed, or its outcome is unknown.
    """
    live_receiver = StreamReceiver(sink=sink) if request.streamed else None
    receiver = RecordingReceiver(
        path=request.path,
        streamed=request.streamed,
        live_receiver=live_receiver,
    )
    try:
        answer = await run_once(
            runtime=state.runtime,
            runs=state.runs,
            name=build_once_key(request.workspace, request.key),
            digest=digest_body("POST", request.path, request.body),
            perform=build_perform(state, request, receiver),
            resume=build_resume(state, request),
            deadline=request.deadline,
        )
    finally:
        receiver.detach()
    if not sink.started:
        answer.send(sink)
    elif answer.status < MIN_ERROR_STATUS:
        live_receiver.finish()
    else:
        raise StreamLostError("the stream ended with an error")
    return receiver


def build_perform(state, request, receiver):
    """Return the coroutine function that runs the request."""

    async def perform(record_attempt):
        try:
            await run_attempts(
                state, request, receiver, record_attempt=record_attempt
            )
        except UpstreamAnswerError as error:
            # An error status is the engine's complete answer; an error in
            # mid-stream leaves the effect unknown.
            if (error.upstream_status or 0) < MIN_ERROR_STATUS:
                raise
            return build_error_answer(error)
        return receiver.build_answer()

    return perform


def build_resume(state, request):
    """Return the coroutine function that resumes a recorded stream."""

    async def resume(record):
        upstream = state.runtime.upstreams.by_name.get(record.upstream)
        receiver = RecordingReceiver(
            path=request.path, streamed=request.streamed, live_receiver=None
        )
        await run_stream(
            runtime=state.runtime,
            upstream=upstream,
            path=request.path,
            body=b"",
            stream_id=record.stream,
            key=request.stable_key,
            request_class="online",
            on_event=receiver.receive_event,
            idle_timeout=STREAM_IDLE_TIMEOUT_S,
            resume=True,
        )
        return receiver.build_answer()

    return resume
