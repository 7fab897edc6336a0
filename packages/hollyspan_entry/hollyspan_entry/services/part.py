"""Setup of plain services in the daemon."""

import contextlib
import uuid

from hollyspan_core.errors import HollyspanError

from ..http import add_resource
from ..http import AsyncResource
from ..online import HttpSink
from ..online import mark_outcome_unknown
from ..online import SERVICE_REQUEST
from ..stopping import require_finishable
from .reading import read_service_request
from .service import answer_service

__all__ = ["open_services"]


@contextlib.contextmanager
def open_services(runtime):
    """Serve requests for plain services within a context.

    Parameters
    ----------
    runtime : Runtime
        Its online state must have been opened before.

    Yields
    ------
    None
    """
    handle = build_handler(runtime.online)
    add_resource(runtime.root, "services", AsyncResource(handle=handle))
    yield


def build_handler(state):
    """Return the handler of requests for all plain services."""

    async def handle(http_request, parts):
        identifier = uuid.uuid4().hex
        http_request.setHeader(b"x-request-id", identifier.encode())
        with SERVICE_REQUEST(request=identifier) as action:
            error = await run(http_request, parts, identifier, action)
            code = None if error is None else error.code
            action.add_success_fields(code=code)
        if error is not None:
            raise error

    async def run(http_request, parts, identifier, action):
        earlier_copies_checked = False
        try:
            request = read_service_request(
                http_request,
                parts,
                runtime=state.runtime,
                identifier=identifier,
            )
            require_finishable(state.runtime, deadline=request.deadline)
            action.log(
                message_type="services:accepted",
                workspace=request.workspace,
                service=request.service,
            )
            with state.limits.admit(request.workspace):
                earlier_copies_checked = not request.idempotent
                sink = HttpSink(request=http_request)
                await answer_service(state, request, sink)
        except HollyspanError as error:
            if not earlier_copies_checked:
                mark_outcome_unknown(http_request, error)
            return error
        return None

    return handle
