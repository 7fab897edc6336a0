"""Attempts of one request at the upstreams of the own data centre."""

import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamUnavailableError

from ..streams import run_stream
from ..streams import send_cancel
from .choice import build_refusal
from .choice import choose_or_try
from .retry import may_retry

__all__ = ["run_attempts"]

IDLE_SECONDS = 5.0
# An idempotent request that has got no event goes elsewhere soon.
FIRST_EVENT_TRIES = 1


async def run_attempts(
    state, request, receiver, *, begin=None, pick=None, attempt=None
):
    """Run a request until one attempt gives the whole answer.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    receiver : StreamReceiver or alike
    begin : callable, optional
        Coroutine function that is called with the upstream and the stream
        identifier before anything of an attempt is sent.
    pick : callable, optional
        Chooses the upstream of an attempt; `choose_or_try` by default.
    attempt : callable, optional
        Coroutine function that runs one attempt; a stream by default.

    Raises
    ------
    HollyspanError
        ``not_run`` only when no attempt can have reached an upstream.
    """
    pick = pick or choose_or_try
    attempt = attempt or run_attempt
    tried = set()
    failure = None
    may_have_run = False
    attempts_left = get_attempts(state, request)
    state.budget.deposit()
    while True:
        upstream, verdict = pick(state, request, tried=tried)
        if upstream is None:
            raise failure if may_have_run else build_refusal(verdict)
        stream_id = f"{request.identifier}-{len(tried)}"
        tried.add(upstream.name)
        if begin is not None:
            await begin(upstream, stream_id)
        try:
            await attempt(state, request, receiver, upstream, stream_id)
            return
        except HollyspanError as error:
            failure = error
        may_have_run |= failure.outcome is not Outcome.NOT_RUN
        if may_have_run:
            failure.outcome = Outcome.UNKNOWN
        if not may_retry(
            failure,
            idempotent=request.idempotent,
            delivered=receiver.delivered,
            attempts_left=attempts_left,
            seconds_left=request.deadline - time.monotonic(),
            budget=state.budget,
        ):
            raise failure
        attempts_left -= 1
        receiver.reset()
        cancel_lost(state.runtime, upstream, stream_id, failure)


async def run_attempt(state, request, receiver, upstream, stream_id):
    """Run one attempt and count it as load while it lasts."""
    runtime = state.runtime
    runtime.affinity.add(upstream.name, request.blocks)
    runtime.upstreams.change_online(upstream, 1)
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
            on_event=receiver.take,
            idle_timeout=IDLE_SECONDS,
            on_connection=receiver.pace,
            **build_patience(request),
        )
    finally:
        runtime.upstreams.change_online(upstream, -1)
    state.observe_service(request.service, time.monotonic() - started)


def build_patience(request):
    return (
        {"first_event_tries": FIRST_EVENT_TRIES} if request.idempotent else {}
    )


def get_attempts(state, request):
    return state.runtime.configurations.current.get(
        "retry.attempts",
        scope=Scope(service=request.service, workspace=request.workspace),
        now=time.time(),
    )


def cancel_lost(runtime, upstream, stream_id, failure):
    """Free the slot of a stream that may still run."""
    if failure.outcome is not Outcome.NOT_RUN and isinstance(
        failure, (StreamLostError, UpstreamUnavailableError)
    ):
        send_cancel(runtime, upstream=upstream, stream_id=stream_id)
