"""HTTP side of requests for models."""

import json
import uuid

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome

from ..http import encode_error
from ..http import identify_caller
from ..http import read_body
from .actions import ONLINE_REQUEST
from .reading import build_request
from .reading import read_options
from .service import answer_request
from .sink import HttpSink

__all__ = ["build_handler"]


def build_handler(state, path):
    """Return the handler of one path.

    Parameters
    ----------
    state : OnlineState
    path : str

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
        finish(sink, error)

    async def run(http_request, sink, identifier, action):
        settled = False
        try:
            if http_request.method != b"POST" or http_request.postpath:
                raise InvalidRequestError(f"only POST {path} is known")
            request = read_request(state, http_request, path, identifier)
            note_request(action, request)
            with state.limits.admit(request.workspace):
                settled = not request.idempotent
                await answer_request(state, request, sink)
        except HollyspanError as error:
            if not settled:
                withhold_outcome(http_request, error)
            return error
        return None

    return handle


def read_request(state, http_request, path, identifier):
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


def note_request(action, request):
    """Log what a request asks for, nothing of its prompt or key."""
    action.log(
        message_type="online:accepted",
        workspace=request.workspace,
        service=request.service,
        streamed=request.streamed,
    )


def withhold_outcome(http_request, error):
    """Say `unknown` for a key whose earlier copies were not looked for.

    An earlier copy under the same key may have run, here or through
    another daemon, so a refusal of this copy tells nothing of the key.
    """
    if http_request.getHeader("idempotency-key") is not None:
        error.outcome = Outcome.UNKNOWN


def finish(sink, error):
    """End the answer; a failure in mid-stream becomes a last event."""
    sink.close()
    if error is None:
        return
    if not sink.started:
        raise error
    event = json.dumps(encode_error(error)).encode()
    sink.write(b"data: %b\n\n" % event)
