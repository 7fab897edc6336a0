"""Attempts of a request at the upstreams of the local data centre."""

import time

from twisted.internet import task

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_policy.retries import compute_backoff
from hollyspan_policy.retries import must_continue

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
# Longest pause before those whose connections broke off are asked again, at
# first and later.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.4


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

    Notes
    -----
    A request that may have run, and has no answer yet, is sent again to those
    whose connections broke off when no other upstream takes it.
    """
    choose_upstream = choose_upstream or choose_with_fallback
    attempt = attempt or run_attempt
    tried = set()
    lost = set()
    last_error = None
    may_have_run = False
    sends = rounds = 0
    max_retries = attempts_left = get_max_retries(state, request)
    state.budget.deposit()
    while True:
        upstream, decision = choose_upstream(state, request, tried=tried)
        if upstream is None:
            rounds += 1
            pause = find_pause(request, rounds)
            if must_continue(
                sends=sends,
                max_attempts=1 + max_retries,
                is_repeatable=request.idempotent,
                is_owed=may_have_run and is_broken_off(last_error),
                seconds_left=request.deadline - time.monotonic(),
                pause_seconds=pause,
            ):
                tried -= lost
                await task.deferLater(state.runtime.reactor, pause)
                continue
            raise (
                last_error if may_have_run else build_overload_error(decision)
            )
        stream_id = f"{request.identifier}-{sends}"
        sends += 1
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
        if is_broken_off(last_error):
            lost.add(upstream.name)
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


def is_broken_off(error):
    """Return whether an attempt failed on its way to the upstream or back."""
    return isinstance(
        error, (StreamLostError, UpstreamUnavailableError)
    ) and not isinstance(error, UpstreamLeavingError)


def find_pause(request, rounds):
    """Return the seconds until those that broke off are asked again."""
    return compute_backoff(
        rounds,
        seed=request.identifier,
        base=FIRST_PAUSE_S,
        limit=MAX_PAUSE_S,
    )


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
