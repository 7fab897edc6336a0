"""Requests for models that must not run twice."""

from hollyspan_core.errors import UpstreamAnswerError

from ..once import build_once_key
from ..once import digest_body
from ..once import run_once
from ..streams import run_stream
from .attempts import IDLE_SECONDS
from .attempts import run_attempts
from .receivers import StreamReceiver
from .recording import RecordingReceiver
from .translation import build_error_answer

__all__ = ["answer_once"]

FIRST_ERROR = 400


async def answer_once(state, request, sink):
    """Answer a non-idempotent request.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    sink : HttpSink or alike

    Returns
    -------
    RecordingReceiver
        What was received of the engine.

    Raises
    ------
    HollyspanError
    """
    live = StreamReceiver(sink=sink) if request.streamed else None
    receiver = RecordingReceiver(
        path=request.path, streamed=request.streamed, live=live
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
    if sink.started:
        live.finish()
    else:
        answer.send(sink)
    return receiver


def build_perform(state, request, receiver):
    async def perform(begin):
        try:
            await run_attempts(state, request, receiver, begin=begin)
        except UpstreamAnswerError as error:
            # An answer to the start is the answer; an error in mid-stream
            # leaves the effect unknown.
            if (error.upstream_status or 0) < FIRST_ERROR:
                raise
            return build_error_answer(error)
        return receiver.build_answer()

    return perform


def build_resume(state, request):
    async def resume(record):
        upstream = state.runtime.upstreams.by_name.get(record.upstream)
        receiver = RecordingReceiver(
            path=request.path, streamed=request.streamed, live=None
        )
        await run_stream(
            runtime=state.runtime,
            upstream=upstream,
            path=request.path,
            body=b"",
            stream_id=record.stream,
            key=request.stable_key,
            request_class="online",
            on_event=receiver.take,
            idle_timeout=IDLE_SECONDS,
            resume=True,
        )
        return receiver.build_answer()

    return resume
