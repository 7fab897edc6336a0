"""Identifiers of batch streams."""

import xxhash

__all__ = ["build_batch_stream_id"]


def build_batch_stream_id(*, instance, incarnation, upstream, number):
    """Return the identifier of a batch stream.

    Parameters
    ----------
    instance : str
        Daemon that runs the stream.
    incarnation : int
        Incarnation of the daemon.
    upstream : str
        Name of the upstream.
    number : int
        Number of the stream, counted by the daemon per upstream from 1.

    Returns
    -------
    str
        Hexadecimal digits. Callers see the identifier in the item's result.

    Notes
    -----
    Peers that know the daemon's incarnation need only the number to cancel
    the stream.
    """
    name = f"{instance}-{incarnation:x}-{upstream}-{number}"
    return xxhash.xxh3_128_hexdigest(name.encode())
