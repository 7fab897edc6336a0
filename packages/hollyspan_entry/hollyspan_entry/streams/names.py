"""Identifiers of batch streams."""

import xxhash

__all__ = ["build_batch_stream_id"]


def build_batch_stream_id(*, instance, incarnation, upstream, number):
    """Return the identifier of a batch stream.

    Parameters
    ----------
    instance : str
        The daemon that runs it.
    incarnation : int
    upstream : str
    number : int
        Counted by the daemon for each upstream, from 1.

    Returns
    -------
    str
        Hexadecimal digits; callers see it with the item's result.

    Notes
    -----
    Peers that know the daemon's incarnation need only the number to cancel
    the stream.
    """
    name = f"{instance}-{incarnation:x}-{upstream}-{number}"
    return xxhash.xxh3_128_hexdigest(name.encode())
