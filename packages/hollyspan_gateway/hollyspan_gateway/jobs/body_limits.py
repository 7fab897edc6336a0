"""Limits on the bytes of requests and jobs that a process keeps."""

from ..intake import MAX_ALL_BODY_BYTES

__all__ = [
    "choose_body_limit",
    "choose_description_limit",
    "choose_kept_limit",
    "choose_peer_request_limit",
    "choose_request_limit",
]

MIB = 1024 * 1024
DEFAULT_BODY_BYTES = 16 * MIB
# Part of a process's memory for each of the things that the limit holds for:
# records that wait, bodies that are kept, bodies that are sent, results that
# are read, and, with as much again for their copies, jobs that arrive.
MEMORY_SHARE = 8
# Two of the longest bodies that the users' sites allow.
MIN_REQUEST_BYTES = 8 * MIB
# Four jobs of the most items, whose identifiers, paths and parts of prompts
# are as long as they may be.
MIN_DESCRIPTION_BYTES = 4 * MIB


def choose_body_limit(memory_bytes):
    """Return the limit on the bodies of jobs in bytes.

    Parameters
    ----------
    memory_bytes : int or None
        Memory that the process may use; None if the settings do not tell.

    Returns
    -------
    int

    Examples
    --------
    >>> choose_body_limit(180_000_000)
    22500000
    """
    if memory_bytes is None:
        return DEFAULT_BODY_BYTES
    return memory_bytes // MEMORY_SHARE


def choose_description_limit(memory_bytes):
    """Return the limit on what a worker keeps to describe open jobs.

    Parameters
    ----------
    memory_bytes : int or None

    Returns
    -------
    int

    Examples
    --------
    >>> choose_description_limit(180_000_000)
    22500000
    >>> choose_description_limit(8_000_000)
    4194304
    """
    return max(MIN_DESCRIPTION_BYTES, choose_body_limit(memory_bytes))


def choose_kept_limit(memory_bytes, *, runs_batch):
    """Return the limit on the bodies that are kept for a later use.

    One that runs no items is asked for single bodies only.

    Parameters
    ----------
    memory_bytes : int or None
    runs_batch : bool

    Returns
    -------
    int

    Examples
    --------
    >>> choose_kept_limit(160_000_000, runs_batch=False)
    10000000
    """
    limit = choose_body_limit(memory_bytes)
    return limit if runs_batch else limit // 2


def choose_request_limit(memory_bytes):
    """Return the limit on the bodies of clients' requests beside jobs.

    Parameters
    ----------
    memory_bytes : int or None

    Returns
    -------
    int

    Examples
    --------
    >>> choose_request_limit(160_000_000)
    20000000
    """
    if memory_bytes is None:
        return MAX_ALL_BODY_BYTES
    return max(MIN_REQUEST_BYTES, memory_bytes // MEMORY_SHARE)


def choose_peer_request_limit(memory_bytes):
    """Return the limit on the bodies of requests that peers forward.

    Parameters
    ----------
    memory_bytes : int or None

    Returns
    -------
    int

    Examples
    --------
    >>> choose_peer_request_limit(160_000_000)
    10000000
    """
    if memory_bytes is None:
        return MAX_ALL_BODY_BYTES
    return max(MIN_REQUEST_BYTES, memory_bytes // MEMORY_SHARE // 2)
