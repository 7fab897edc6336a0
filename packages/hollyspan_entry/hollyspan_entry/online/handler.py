"""HTTP handlers of requests for models."""

import json
import uuid

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome

from ..http import encode_error
from ..http import identify_caller
from ..http import read_body
from ..stopping import require_finishable
from .actions import ONLINE_REQUEST
from .reading import build_request
from .reading import read_options
from .service import answer_request
from .sink import HttpSink

__all__ = ["build_handler"]


def build_handler(state, path):
    """Return the handler of one API path.

    Parameters
    ----------
    state : OnlineState
    path : str
        ``/v1/chat/completions`` or ``/v1/completions``.

    Returns
    -------
    callable
        Coroutine function for an AsyncResource.
    """

    async def handle(http_request, rest):
        identifier = uuid.uuid4().hex
        http_request.setHeader(b"x-request-id", identifier.encode())
        sink = HttpSink(request=http_request)
        with ONLINE_REQUEST(request=identifier, path=path) as action:
            error = await run(http_request, sink, identifier, action)
            code = None if error is None else error.code
            action.add_success_fields(code=code)
        finish_answer(sink, error)

    async def run(http_request, sink, identifier, action):
        earlier_copies_checked = False
        try:
            if http_request.method != b"POST" or http_request.postpath:
                raise InvalidRequestError(f"only POST {path} is supported")
            request = read_request(state, http_request, path, identifier)
            require_finishable(state.runtime, deadline=request.deadline)
            log_accepted_request(action, request)
            with state.limits.admit(request.workspace):
                earlier_copies_checked = not request.idempotent
                await answer_request(state, request, sink)
        except HollyspanError as error:
            if not earlier_copies_checked:
                mark_outcome_unknown(http_request, error)
            return error
        return None

    return handle


def read_request(state, http_request, path, identifier):
    """Authenticate the caller and decode the request."""
    runtime = state.runtime
    workspace = identify_caller(http_request, runtime=runtime)
    return build_request(
        configuration=runtime.configurations.current,
        settings=runtime.settings,
        path=path,
        body=read_body(http_request),
        workspace=workspace,
        options=read_options(http_request),
        identifier=identifier,
    )


def log_accepted_request(action, request):
    """Log an accepted request without its prompt or idempotency key."""
    action.log(
        message_type="online:accepted",
        workspace=request.workspace,
        service=request.service,
        streamed=request.streamed,
    )


def mark_outcome_unknown(http_request, error):
    """Set the outcome to `unknown` when earlier copies were not checked.

    An earlier copy with the same idempotency key may have run on this or
    another daemon, so rejecting this copy says nothing about the outcome of
    the request.
    """
    if http_request.getHeader("idempotency-key") is not None:
        error.outcome = Outcome.UNKNOWN


def finish_answer(sink, error):
    """End the answer; send an error in mid-stream as the last event.

    Raises
    ------
    HollyspanError
        The error, unless it was sent. An answer of another kind that has
        begun is to be broken off.
    """
    sink.close()
    if error is None:
        return
    if not sink.is_stream:
        raise error
    event = json.dumps(encode_error(error)).encode()
    sink.write(b"data: %b\n\n" % event)
