"""Handlers of API operations that use the store."""

from hollyspan_core.errors import StoreUnavailableError

from .answer import write_json
from .caller import identify_caller

__all__ = ["build_operations"]

RETRY_AFTER_S = 5.0


def build_operations(runtime, *, find_operation):
    """Build a handler that dispatches each request to an operation.

    Parameters
    ----------
    runtime : Runtime
    find_operation : callable
        Takes the method and the rest of the path and returns the operation:
        a coroutine function that takes runtime, request, workspace and path.
        The operation returns an object to be sent as JSON, or None when it
        has written the answer itself.

    Returns
    -------
    callable
        Handler of an AsyncResource.
    """

    async def handle(request, path):
        path = [part for part in path if part]
        workspace = identify_caller(request, runtime=runtime)
        operation = find_operation(request.method, path)
        try:
            answer = await operation(runtime, request, workspace, path)
        except StoreUnavailableError as error:
            error.retry_after = error.retry_after or RETRY_AFTER_S
            raise
        if answer is not None:
            write_json(request, answer)

    return handle
