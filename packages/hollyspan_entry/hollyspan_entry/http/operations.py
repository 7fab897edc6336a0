"""Operations of callers on what the store keeps."""

from hollyspan_core.errors import StoreUnavailableError

from .answer import write_json
from .caller import identify_caller

__all__ = ["build_operations"]

RETRY_SECONDS = 5.0


def build_operations(runtime, *, find_operation):
    """Build a handler that answers each request by its operation.

    Parameters
    ----------
    runtime : Runtime
    find_operation : callable
        Returns, for a method and the rest of the path, a coroutine function
        that takes runtime, request, workspace and path. It returns the
        answer as JSON, or None when it has written the answer itself.

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
            error.retry_after = error.retry_after or RETRY_SECONDS
            raise
        if answer is not None:
            write_json(request, answer)

    return handle
