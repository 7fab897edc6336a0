"""Setup of the operators' API in the daemon."""

import contextlib

from hollyspan_core.errors import InvalidRequestError

from ..http import add_resource
from ..http import AsyncResource
from ..http import write_json
from .auth import check_operator
from .configuration import build_configuration_handler
from .jobs import build_jobs_handler
from .query import read_number
from .reports import describe_statistics
from .reports import report_burn
from .reports import sum_statistics
from .status import describe_daemon
from .status import describe_fleet

__all__ = ["open_operators"]

BASE_PATH = "operator/v1"
MAX_WINDOW_S = 86_400


@contextlib.contextmanager
def open_operators(runtime):
    """Serve the operators' API.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    None
    """
    runtime.links.statistics_providers["status"] = lambda: describe_daemon(
        runtime
    )
    runtime.links.statistics_providers["statistics"] = (
        lambda: describe_statistics(runtime)
    )
    handlers = build_handlers(runtime)

    async def handle(request, path):
        check_operator(request, key=runtime.settings.operator_key)
        name, *rest = path or [""]
        if name not in handlers:
            raise InvalidRequestError("no such resource in the operators' API")
        await handlers[name](request, rest)

    add_resource(runtime.root, BASE_PATH, AsyncResource(handle=handle))
    yield


def build_handlers(runtime):
    async def show_status(request, path):
        write_json(request, await describe_fleet(runtime))

    async def show_statistics(request, path):
        write_json(request, await sum_statistics(runtime))

    async def show_burn(request, path):
        window = read_number(
            request, "window", default=None, maximum=MAX_WINDOW_S
        )
        write_json(request, await report_burn(runtime, window=window))

    return {
        "burn": show_burn,
        "configuration": build_configuration_handler(runtime),
        "jobs": build_jobs_handler(runtime),
        "statistics": show_statistics,
        "status": show_status,
    }
