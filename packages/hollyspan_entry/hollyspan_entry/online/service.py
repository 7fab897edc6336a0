"""Execution and measurement of one request for a model."""

import time

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import UpstreamAnswerError

from ..burn import record_between_tokens
from ..burn import record_first_token
from ..burn import record_whole_answer
from .attempts import run_attempts
from .deadline import run_until
from .forwarding import forward_request
from .measurements import RequestMeasurements
from .non_idempotent import answer_once
from .receivers import StreamReceiver
from .receivers import WholeReceiver
from .translation import translate_error

__all__ = ["answer_request"]

# Errors caused by the caller; they don't reflect the quality of service.
CALLER_ERROR_CODES = frozenset(
    {"cancelled", "idempotency_mismatch", "invalid_prompt", "invalid_request"}
)


async def answer_request(state, request, sink):
    """Answer a request and report its measurements.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    sink : HttpSink or MessageSink
        Destination of the answer.

    Raises
    ------
    HollyspanError
        The request failed; an answer that was already begun is incomplete.
    """
    started = time.monotonic()
    receiver = build_receiver(request, sink)
    code = "cancelled"
    state.in_flight += 1
    try:
        if request.idempotent:
            await run_until(
                answer_idempotent(state, request, sink, receiver),
                deadline=request.deadline,
                reactor=state.runtime.reactor,
            )
        else:
            receiver = await answer_once(state, request, sink)
        code = None
    except UpstreamAnswerError as error:
        code = error.code
        raise translate_error(error)
    except HollyspanError as error:
        code = error.code
        raise
    finally:
        state.in_flight -= 1
        report_request(state, request, receiver, started=started, code=code)


async def answer_idempotent(state, request, sink, receiver):
    """Answer a request that may be retried until a part is delivered."""
    if await forward_request(state, request, sink, receiver):
        return
    await run_attempts(state, request, receiver)
    receiver.finish()


def build_receiver(request, sink):
    """Return the receiver for a streamed or a complete answer."""
    if request.streamed:
        return StreamReceiver(sink=sink)
    return WholeReceiver(sink=sink, path=request.path)


def report_request(state, request, receiver, *, started, code):
    """Pass the measurements of a finished request to the listeners."""
    now = time.monotonic()
    first_event_at = receiver.first_event_at
    token_interval = None
    if first_event_at is not None and receiver.event_count > 1:
        token_interval = (now - first_event_at) / (receiver.event_count - 1)
    measurements = RequestMeasurements(
        service=request.service,
        workspace=request.workspace,
        streamed=request.streamed,
        whole=code is None,
        code=code,
        seconds=now - started,
        first_token=(
            None if first_event_at is None else first_event_at - started
        ),
        between_tokens=token_interval,
    )
    record_burn(state.runtime, measurements)
    for listener in state.runtime.request_listeners:
        listener(measurements)


def record_burn(runtime, measurements):
    """Count a request against the objectives, except for caller errors."""
    if measurements.code in CALLER_ERROR_CODES:
        return
    service = measurements.service
    record_whole_answer(runtime, service=service, whole=measurements.whole)
    if not measurements.streamed:
        return
    if measurements.first_token is not None:
        record_first_token(
            runtime,
            service=service,
            seconds=measurements.first_token,
            workspace=measurements.workspace,
        )
    if measurements.between_tokens is not None:
        record_between_tokens(
            runtime,
            service=service,
            seconds=measurements.between_tokens,
            workspace=measurements.workspace,
        )
