"""Execution of a request for a plain service."""

from ..once import build_once_key
from ..once import digest_body
from ..once import run_once
from ..online import run_attempts
from ..online import run_until
from .call import AnswerReceiver
from .call import call_service
from .choice import choose_instance

__all__ = ["answer_service"]


async def answer_service(state, request, sink):
    """Answer a request for a plain service.

    Parameters
    ----------
    state : OnlineState
    request : ServiceRequest
    sink : HttpSink
        Destination of the answer.

    Raises
    ------
    HollyspanError
        The request failed, or its outcome is unknown.
    """
    perform = build_perform(state, request)
    state.in_flight += 1
    try:
        if request.idempotent:
            answer = await run_until(
                perform(None),
                deadline=request.deadline,
                reactor=state.runtime.reactor,
            )
        else:
            answer = await answer_once(state, request, perform)
    finally:
        state.in_flight -= 1
    answer.send(sink)


def build_perform(state, request):
    """Return the coroutine function that runs the request."""

    async def perform(record_attempt):
        receiver = AnswerReceiver()
        await run_attempts(
            state,
            request,
            receiver,
            record_attempt=record_attempt,
            choose_upstream=choose_instance,
            attempt=call_service,
        )
        return receiver.answer

    return perform


async def answer_once(state, request, perform):
    """Return the answer to a non-idempotent request."""
    target = f"/services/{request.service}{request.path}"
    return await run_once(
        runtime=state.runtime,
        runs=state.runs,
        name=build_once_key(request.workspace, request.key),
        digest=digest_body(request.method, target, request.body),
        perform=perform,
        resume=None,
        deadline=request.deadline,
    )
