"""HTTP calls to an upstream."""

import json

import eliot
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers

from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import UpstreamUnavailableError

from ..http import BytesProducer
from ..intake import collect_body
from ..intake.limits import ANSWERS_KEPT
from ..intake.limits import CONTROL_KEPT
from ..intake.limits import SERVICE_ANSWER
from ..intake.limits import STATE_REPORT
from ..intake.limits import UNUSED_ANSWER
from .cancellation import forward_cancel
from .state import mark_unreachable
from .state import update_state_from_response

__all__ = [
    "CONNECTION_FAILURES",
    "discard_content",
    "fetch_json",
    "open_response",
    "read_content",
    "read_content_type",
]

# Failures before the first byte of the request was sent.
NOT_SENT_FAILURES = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
)
# Failures after which the upstream may have received the request.
CONNECTION_FAILURES = (
    defer.TimeoutError,
    error.ConnectionDone,
    error.ConnectionLost,
    client.RequestNotSent,
    client.RequestTransmissionFailed,
    client.ResponseFailed,
)


async def open_response(
    *, runtime, upstream, method, path, headers, body, timeout
):
    """Send a request and return the response once its head has arrived.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    method : bytes
    path : str
        Path and query.
    headers : dict
        Values (bytes) by name (bytes).
    body : bytes or None
    timeout : float
        Seconds within which the response head must arrive.

    Returns
    -------
    IResponse

    Raises
    ------
    UpstreamUnavailableError
        The call failed. The outcome is ``not_run`` when nothing can have
        reached the upstream.
    """
    producer = None if body is None else BytesProducer(content=body)
    raw_headers = {name: [value] for name, value in headers.items()}
    work = runtime.agent.request(
        method,
        f"{upstream.url}{path}".encode(),
        http_headers.Headers(raw_headers),
        producer,
    )
    work.addTimeout(timeout, runtime.reactor)
    try:
        response = await forward_cancel(work)
    except NOT_SENT_FAILURES as failure:
        mark_unreachable(upstream)
        raise UpstreamUnavailableError(
            f"no connection to {upstream.name}", outcome=Outcome.NOT_RUN
        ) from failure
    except CONNECTION_FAILURES as failure:
        raise UpstreamUnavailableError(
            f"no answer from {upstream.name}", outcome=Outcome.UNKNOWN
        ) from failure
    update_state_from_response(runtime, upstream, response)
    return response


async def read_content(
    response,
    *,
    runtime,
    upstream,
    timeout,
    limits=SERVICE_ANSWER,
    budget=ANSWERS_KEPT,
):
    """Read the complete body of a response.

    Parameters
    ----------
    response : IResponse
    runtime : Runtime
    upstream : Upstream
    timeout : float
        Seconds.
    limits : IntakeLimits, optional
    budget : ByteBudget, optional
        Limit on all that is kept of such bodies.

    Returns
    -------
    bytes

    Raises
    ------
    UpstreamUnavailableError
        The connection broke, or the body is too large.
    """
    try:
        return await collect_body(
            response,
            limits=limits,
            budget=budget,
            sender=upstream.name,
            reactor=runtime.reactor,
            timeout=timeout,
        )
    except CONNECTION_FAILURES as failure:
        raise UpstreamUnavailableError(
            f"the answer of {upstream.name} broke off"
        ) from failure
    except IntakeExceededError as failure:
        raise UpstreamUnavailableError(
            f"the answer of {upstream.name} is too large"
        ) from failure


async def discard_content(response, *, runtime, upstream, timeout):
    """Read past the body of a response that is not used.

    The parameters are those of `read_content`. A body that breaks off or is
    too long is logged only.
    """
    try:
        await read_content(
            response,
            runtime=runtime,
            upstream=upstream,
            timeout=timeout,
            limits=UNUSED_ANSWER,
        )
    except UpstreamUnavailableError as error:
        eliot.log_message(
            message_type="upstreams:discarded",
            upstream=upstream.name,
            reason=error.message,
        )


def read_content_type(response):
    """Return the content type of a response, None without one.

    Parameters
    ----------
    response : IResponse

    Returns
    -------
    str or None
    """
    values = response.headers.getRawHeaders(b"content-type")
    return values[-1].decode("latin-1") if values else None


async def fetch_json(*, runtime, upstream, path, timeout, limits=STATE_REPORT):
    """Get a JSON object from an upstream.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    path : str
    timeout : float
        Seconds, applied to the head and to the body separately.
    limits : IntakeLimits, optional

    Returns
    -------
    dict
        Empty when the answer is not a JSON object with status 200.

    Raises
    ------
    UpstreamUnavailableError
        The upstream did not answer.
    """
    response = await open_response(
        runtime=runtime,
        upstream=upstream,
        method=b"GET",
        path=path,
        headers={},
        body=None,
        timeout=timeout,
    )
    content = await read_content(
        response,
        runtime=runtime,
        upstream=upstream,
        timeout=timeout,
        limits=limits,
        budget=CONTROL_KEPT,
    )
    if response.code != 200:
        return {}
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}
