"""Where a configuration is read from."""

import json

from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import PeerUnavailableError

__all__ = [
    "CURRENT_KEY",
    "HISTORY_PREFIX",
    "encode_configuration",
    "name_history_key",
    "pull_configuration",
    "read_store",
]

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
GENERATION_DIGITS = 10


def name_history_key(generation):
    """Return the store's key of one generation.

    Parameters
    ----------
    generation : int

    Returns
    -------
    str

    Examples
    --------
    >>> name_history_key(7)
    'configuration/history/0000000007'
    """
    return f"{HISTORY_PREFIX}{generation:0{GENERATION_DIGITS}d}"


def encode_configuration(configuration):
    """Return a configuration as JSON.

    Parameters
    ----------
    configuration : Configuration

    Returns
    -------
    bytes
    """
    return json.dumps(configuration.document, separators=(",", ":")).encode()


async def read_store(store):
    """Return the configuration in the store, or None when it has none.

    Parameters
    ----------
    store : Store

    Returns
    -------
    Configuration or None

    Raises
    ------
    StoreUnavailableError
        The store did not answer.
    ConfigurationInvalidError
        The store holds a document with faults.
    """
    entry = await store.get(CURRENT_KEY)
    return None if entry is None else parse_configuration(entry.content)


async def pull_configuration(runtime, member, *, above):
    """Return the configuration of a peer.

    Parameters
    ----------
    runtime : Runtime
    member : Member
    above : int
        Only a higher generation is of interest.

    Returns
    -------
    Configuration or None
        None when the peer has no higher one.

    Raises
    ------
    PeerUnavailableError
        The peer did not answer.
    ConfigurationInvalidError
        Its document has faults.
    """
    if runtime.links is None:
        raise PeerUnavailableError("no links to other daemons")
    content = await runtime.links.pull_configuration(member, above=above)
    if not content:
        return None
    configuration = parse_configuration(content)
    if configuration.generation <= above:
        raise ConfigurationInvalidError(
            f"a peer offered generation {configuration.generation}"
        )
    return configuration
