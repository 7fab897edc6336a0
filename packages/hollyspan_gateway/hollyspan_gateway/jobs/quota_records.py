"""Keys and encoding of the counters of waiting tokens in the store."""

import contextlib
import json

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import RecordUnreadableError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.quota import Share

__all__ = [
    "SHARE_COUNT",
    "build_counters_prefix",
    "build_quota_identifier",
    "build_release_key",
    "build_releases_key",
    "build_share_key",
    "decode_counters",
    "decode_releases",
    "encode_releases",
    "encode_share",
]

QUOTAS_PREFIX = "hs/q/"
SHARES_SUFFIX = "/c/s/"
RELEASES_SUFFIX = "/c/r/"
RELEASED_JOBS_SUFFIX = "/e/"
# Shares of a limit: with one each for a handful of daemons, jobs that arrive
# in a burst seldom compete for a share.
SHARE_COUNT = 8


def build_quota_identifier(route, workspace=None):
    """Return the identifier of the counters of a route.

    Parameters
    ----------
    route : str
        Name of the route.
    workspace : str or None, optional
        Name of the workspace whose tokens are counted; None counts all that
        belong to no workspace.

    Returns
    -------
    str

    Examples
    --------
    >>> build_quota_identifier("r") == build_quota_identifier("r", "w")
    False
    """
    parts = (route,) if workspace is None else (route, workspace)
    return f"{hash_parts(*parts):016x}"


def build_counters_prefix(quota):
    """Return the prefix of all counters of a route."""
    return f"{QUOTAS_PREFIX}{quota}/c/"


def build_share_key(quota, index):
    """Return the key of a share."""
    return f"{QUOTAS_PREFIX}{quota}{SHARES_SUFFIX}{index}"


def build_releases_key(quota, instance):
    """Return the key of the tokens that a gateway has released."""
    return f"{QUOTAS_PREFIX}{quota}{RELEASES_SUFFIX}{instance}"


def build_release_key(quota, job):
    """Return the key that marks the rest of an ended job as released."""
    return f"{QUOTAS_PREFIX}{quota}{RELEASED_JOBS_SUFFIX}{job}"


def encode_share(share):
    """Encode a share as the content of its key."""
    document = {"accepted": share.accepted, "borrowed": share.borrowed}
    return json.dumps(document).encode()


def encode_releases(released):
    """Encode the released tokens by share as the content of a key."""
    return json.dumps(
        {str(share): tokens for share, tokens in released.items()}
    ).encode()


def decode_share(content):
    """Decode the content of a share's key.

    Raises
    ------
    RecordUnreadableError
    """
    with guard_decoding():
        document = parse_document(content)
        return Share(
            accepted=document["accepted"], borrowed=document["borrowed"]
        )


def decode_releases(content):
    """Decode the tokens by share that a gateway has released.

    Raises
    ------
    RecordUnreadableError
    """
    with guard_decoding():
        return {
            int(share): tokens
            for share, tokens in parse_document(content).items()
        }


@contextlib.contextmanager
def guard_decoding():
    """Raise RecordUnreadableError for a counter that cannot be decoded."""
    try:
        yield
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise RecordUnreadableError(
            f"a counter of waiting tokens cannot be read: {error!r}"
        ) from error


def decode_counters(entries, *, quota, share_count=SHARE_COUNT):
    """Decode the counters of a route.

    Parameters
    ----------
    entries : iterable of Entry
    quota : str
    share_count : int, optional

    Returns
    -------
    (list of Share, list of int, list of int)
        Shares, their revisions, 0 for those that do not exist yet, and the
        released tokens of each share.

    Raises
    ------
    RecordUnreadableError
        Without one of them the tokens cannot be counted.
    """
    shares = [Share() for _ in range(share_count)]
    revisions = [0] * share_count
    released = [0] * share_count
    indices = {
        build_share_key(quota, index): index for index in range(share_count)
    }
    for entry in entries:
        index = indices.get(entry.key)
        if index is not None:
            shares[index] = decode_share(entry.content)
            revisions[index] = entry.revision
            continue
        for share, tokens in decode_releases(entry.content).items():
            released[share] += tokens
    return shares, revisions, released
