"""Sources of configurations: the store and peers."""

import json

from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import PeerUnavailableError

__all__ = [
    "CURRENT_KEY",
    "HISTORY_PREFIX",
    "encode_configuration",
    "build_history_key",
    "pull_configuration",
    "read_stored_configuration",
]

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
GENERATION_DIGITS = 10


def build_history_key(generation):
    """Return the store key of one generation in the history.

    Parameters
    ----------
    generation : int

    Returns
    -------
    str

    Examples
    --------
    >>> build_history_key(7)
    'configuration/history/0000000007'
    """
    return f"{HISTORY_PREFIX}{generation:0{GENERATION_DIGITS}d}"


def encode_configuration(configuration):
    """Encode a configuration as JSON.

    Parameters
    ----------
    configuration : Configuration

    Returns
    -------
    bytes
    """
    return json.dumps(configuration.document, separators=(",", ":")).encode()


async def read_stored_configuration(store):
    """Read the current configuration from the store.

    Parameters
    ----------
    store : Store

    Returns
    -------
    Configuration or None
        None if the store contains no configuration.

    Raises
    ------
    StoreUnavailableError
        The store did not answer.
    ConfigurationInvalidError
        The document in the store is invalid.
    """
    entry = await store.get(CURRENT_KEY)
    return None if entry is None else parse_configuration(entry.content)


async def pull_configuration(runtime, member, *, above):
    """Pull a newer configuration from a peer.

    Parameters
    ----------
    runtime : Runtime
    member : Member
        Peer to pull from.
    above : int
        Only a generation higher than this one is requested.

    Returns
    -------
    Configuration or None
        None if the peer has no higher generation.

    Raises
    ------
    PeerUnavailableError
        The peer did not answer.
    ConfigurationInvalidError
        The document of the peer is invalid, or its generation is not higher.
    """
    if runtime.links is None:
        raise PeerUnavailableError("no links to other daemons")
    content = await runtime.links.pull_configuration(member, above=above)
    if not content:
        return None
    configuration = parse_configuration(content)
    if configuration.generation <= above:
        raise ConfigurationInvalidError(
            f"a peer sent generation {configuration.generation}"
        )
    return configuration
