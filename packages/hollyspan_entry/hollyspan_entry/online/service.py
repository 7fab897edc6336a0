"""Answering of one request for a model."""

import time

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import UpstreamAnswerError

from ..burn import record_between_tokens
from ..burn import record_first_token
from ..burn import record_whole_answer
from .attempts import run_attempts
from .deadline import run_until
from .forwarding import forward_request
from .keyed import answer_once
from .receivers import StreamReceiver
from .receivers import WholeReceiver
from .record import RequestRecord
from .translation import translate_error

__all__ = ["answer_request"]

# Ends that say nothing of how the request was served.
UNCOUNTED_CODES = frozenset(
    {"cancelled", "idempotency_mismatch", "invalid_prompt", "invalid_request"}
)


async def answer_request(state, request, sink):
    """Answer a request and report its measures.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    sink : HttpSink or alike

    Raises
    ------
    HollyspanError
        The answer that was begun, if any, is not whole.
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
        report(state, request, receiver, started=started, code=code)


async def answer_idempotent(state, request, sink, receiver):
    """Answer a request that may run again while nothing was delivered."""
    if await forward_request(state, request, sink, receiver):
        return
    await run_attempts(state, request, receiver)
    receiver.finish()


def build_receiver(request, sink):
    if request.streamed:
        return StreamReceiver(sink=sink)
    return WholeReceiver(sink=sink, path=request.path)


def report(state, request, receiver, *, started, code):
    """Tell the listeners what is known of a request at its end."""
    now = time.monotonic()
    first = receiver.first
    between = None
    if first is not None and receiver.count > 1:
        between = (now - first) / (receiver.count - 1)
    record = RequestRecord(
        service=request.service,
        workspace=request.workspace,
        streamed=request.streamed,
        whole=code is None,
        code=code,
        seconds=now - started,
        first_token=None if first is None else first - started,
        between_tokens=between,
    )
    record_burn(state.runtime, record)
    for listener in state.runtime.request_listeners:
        listener(record)


def record_burn(runtime, record):
    """Count a request against the objectives; the caller's own fault not."""
    if record.code in UNCOUNTED_CODES:
        return
    service = record.service
    record_whole_answer(runtime, service=service, whole=record.whole)
    if not record.streamed:
        return
    if record.first_token is not None:
        record_first_token(
            runtime,
            service=service,
            seconds=record.first_token,
            workspace=record.workspace,
        )
    if record.between_tokens is not None:
        record_between_tokens(
            runtime,
            service=service,
            seconds=record.between_tokens,
            workspace=record.workspace,
        )
