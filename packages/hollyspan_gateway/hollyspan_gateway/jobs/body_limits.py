"""Limits on the bytes of jobs that a process keeps."""

__all__ = ["choose_body_limit"]

DEFAULT_BODY_BYTES = 16 * 1024 * 1024
# Part of a process's memory for each of the things that the limit holds for:
# records that wait, bodies that are kept, bodies that are sent, submissions.
MEMORY_SHARE = 8


def choose_body_limit(memory_bytes):
    """Return the limit in bytes.

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
