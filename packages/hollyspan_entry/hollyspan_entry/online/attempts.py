"""Attempts of a request at the upstreams of the local data centre."""

import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamUnavailableError

from ..streams import run_stream
from ..streams import send_cancel
from .choice import build_overload_error
from .choice import choose_with_fallback
from .retry import may_retry

__all__ = ["run_attempts"]

STREAM_IDLE_TIMEOUT_S = 5.0
# An idempotent request that has received no event is soon retried on another
# upstream.
MAX_INITIAL_RESUMES = 1


async def run_attempts(
    state,
    request,
    receiver,
    *,
    record_attempt=None,
    choose_upstream=None,
    attempt=None,
):
    """Run a request until one attempt yields the complete answer.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    receiver : StreamReceiver, RecordingReceiver or similar
        Receives the answer.
    record_attempt : callable, optional
        Coroutine function that is called with the upstream and the stream
        identifier before each attempt is sent.
    choose_upstream : callable, optional
        Chooses the upstream of an attempt; `choose_with_fallback` by default.
    attempt : callable, optional
        Coroutine function that runs one attempt; `run_attempt` by default.

    Raises
    ------
    HollyspanError
        The outcome is ``not_run`` only when no attempt can have reached an
        upstream.
    """
    choose_upstream = choose_upstream or choose_with_fallback
    attempt = attempt or run_attempt
    tried = set()
    last_error = None
    may_have_run = False
    attempts_left = get_max_retries(state, request)
    state.budget.deposit()
    while True:
        upstream, decision = choose_upstream(state, request, tried=tried)
        if upstream is None:
            raise (
                last_error if may_have_run else build_overload_error(decision)
            )
        stream_id = f"{request.identifier}-{len(tried)}"
        tried.add(upstream.name)
        if record_attempt is not None:
            await record_attempt(upstream, stream_id)
        try:
            await attempt(state, request, receiver, upstream, stream_id)
            return
        except HollyspanError as error:
            last_error = error
        may_have_run |= last_error.outcome is not Outcome.NOT_RUN
        if may_have_run:
            last_error.outcome = Outcome.UNKNOWN
        if not may_retry(
            last_error,
            idempotent=request.idempotent,
            delivered=receiver.delivered,
            attempts_left=attempts_left,
            seconds_left=request.deadline - time.monotonic(),
            budget=state.budget,
        ):
            raise last_error
        attempts_left -= 1
        receiver.reset()
        cancel_lost_stream(state.runtime, upstream, stream_id, last_error)


async def run_attempt(state, request, receiver, upstream, stream_id):
    """Run one attempt as a stream, counted as load while it runs."""
    runtime = state.runtime
    runtime.affinity.add(upstream.name, request.blocks)
    runtime.upstreams.change_online_in_flight(upstream, 1)
    started = time.monotonic()
    try:
        await run_stream(
            runtime=runtime,
            upstream=upstream,
            path=request.path,
            body=request.body if request.streamed else request.document,
            stream_id=stream_id,
            key=request.stable_key,
            request_class="online",
            on_event=receiver.receive_event,
            idle_timeout=STREAM_IDLE_TIMEOUT_S,
            on_connection=receiver.apply_backpressure,
            is_kept=receiver.keeps_events,
            **build_resume_limits(request),
        )
    finally:
        runtime.upstreams.change_online_in_flight(upstream, -1)
    state.observe_service_time(request.service, time.monotonic() - started)


def build_resume_limits(request):
    """Return the arguments of `run_stream` that limit initial resumes."""
    return (
        {"max_initial_resumes": MAX_INITIAL_RESUMES}
        if request.idempotent
        else {}
    )


def get_max_retries(state, request):
    """Return the number of retries that the configuration allows."""
    return state.runtime.configurations.current.get(
        "retry.attempts",
        scope=Scope(service=request.service, workspace=request.workspace),
        now=time.time(),
    )


def cancel_lost_stream(runtime, upstream, stream_id, last_error):
    """Free the slot of a lost stream that may still be running."""
    if last_error.outcome is not Outcome.NOT_RUN and isinstance(
        last_error, (StreamLostError, UpstreamUnavailableError)
    ):
        send_cancel(runtime, upstream=upstream, stream_id=stream_id)
