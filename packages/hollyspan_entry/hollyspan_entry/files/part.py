"""Setup of the file API in the daemon."""

import contextlib

from ..http import add_resource
from ..http import AsyncResource
from .request import build_request_factory
from .resource import build_handler
from .upload import receive_upload

__all__ = ["build_upload_request", "open_files"]


@contextlib.contextmanager
def open_files(runtime):
    """Serve ``/v1/files``.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    None
    """
    handler = AsyncResource(handle=build_handler(runtime))
    add_resource(runtime.root, "v1/files", handler)
    yield


def build_upload_request(runtime):
    """Build the request class for the daemon's site.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    type
    """

    async def receive(request, body):
        return await receive_upload(runtime, request, body)

    return build_request_factory(receive)
