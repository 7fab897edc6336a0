"""Operations on the configuration in the operators' API."""

import json

from hollyspan_core.configuration import list_differences
from hollyspan_core.errors import ConfigurationMissingError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import StoreUnavailableError

from ..configurations import build_history_key
from ..configurations import HISTORY_PREFIX
from ..configurations import read_stored_configuration
from ..http import read_json
from ..http import write_json
from .acceptance import accept_configuration
from .acceptance import increment_generation
from .query import read_flag
from .query import read_number

__all__ = ["build_configuration_handler", "get_current", "list_history"]

DEFAULT_HISTORY_ENTRIES = 20
MAX_HISTORY_ENTRIES = 100


def build_configuration_handler(runtime):
    """Build the handler of ``configuration`` and ``configuration/history``.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    callable
        Coroutine function that takes the request and the remaining path.
    """

    async def handle(request, path):
        if request.method == b"POST" and not path:
            await submit(request)
        elif request.method == b"GET" and not path:
            write_json(request, get_current(runtime).document)
        elif request.method == b"GET" and path == ["history"]:
            limit = read_number(
                request,
                "limit",
                default=DEFAULT_HISTORY_ENTRIES,
                maximum=MAX_HISTORY_ENTRIES,
            )
            documents = await list_history(runtime, limit=limit)
            write_json(request, {"documents": documents})
        else:
            raise InvalidRequestError("no such operation on configuration")

    async def submit(request):
        document = read_json(request)
        if read_flag(request, "dry_run"):
            write_json(request, await compare(document))
            return
        accepted = await accept_configuration(runtime.store, document)
        runtime.configurations.apply(accepted)
        write_json(request, {"generation": accepted.generation})

    async def compare(document):
        submitted = increment_generation(document)
        current = await read_current(runtime)
        return {
            "generation": current.generation,
            "faults": [],
            "differences": [
                difference.to_json()
                for difference in list_differences(
                    current.document, submitted.document
                )
            ],
        }

    return handle


def get_current(runtime):
    """Return the configuration in force on this daemon.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationMissingError
        No configuration has been loaded yet.
    """
    current = runtime.configurations.current
    if current is None:
        raise ConfigurationMissingError("no configuration has been loaded yet")
    return current


async def read_current(runtime):
    """Return the configuration in the store, or else the one in force."""
    try:
        stored = await read_stored_configuration(runtime.store)
    except StoreUnavailableError:
        stored = None
    return stored or get_current(runtime)


async def list_history(runtime, *, limit):
    """Return the accepted documents, newest first.

    Parameters
    ----------
    runtime : Runtime
    limit : int
        Maximum number of documents.

    Returns
    -------
    list of dict
    """
    newest = get_current(runtime).generation
    oldest = max(1, newest - limit + 1)
    after = build_history_key(oldest - 1)
    documents = []
    while len(documents) < limit:
        page = await runtime.store.list(
            HISTORY_PREFIX, after=after, limit=limit - len(documents)
        )
        documents += [json.loads(entry.content) for entry in page.entries]
        if not page.has_more:
            break
        after = page.entries[-1].key
    return documents[::-1]
