"""Choice of the gateways that remember a stream."""

import heapq

from ..hashing import hash_parts
from ..membership import is_small_fleet

__all__ = ["choose_keepers", "choose_respondents"]

# Gateways that are told of a stream: two of them may restart, or one restart
# and one datagram be lost, while the client is on its way back.
KEEPERS = 3
# Gateways that are asked in a large fleet: keepers move down by one place for
# each gateway that appears, and up for each that fails.
RESPONDENTS = 8


def choose_keepers(stream, gateways):
    """Choose the gateways that are told which version began a stream.

    Parameters
    ----------
    stream : int
        Hash of the identifier of the request that began it.
    gateways : iterable of str
        Identifiers of the live gateways but the one that tells.

    Returns
    -------
    list of str

    Notes
    -----
    Load pattern: 2,400 streams a second begin at 390 gateways, few of them
    are taken up again, each at any gateway. Rendezvous hashing [1]_ lets each
    gateway compute the same keepers from the stream's identifier.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase
       hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> len(choose_keepers(7, ["a", "b", "c", "d", "e"]))
    3
    """
    return choose_first(stream, gateways, KEEPERS)


def choose_respondents(stream, gateways):
    """Choose the gateways that are asked for a stream's version.

    Parameters
    ----------
    stream : int
    gateways : collection of str
        Identifiers of the live gateways but the one that asks.

    Returns
    -------
    list of str
        All of a small fleet, among them the one that began the stream.

    Examples
    --------
    >>> sorted(choose_respondents(7, ["a", "b", "c", "d", "e"]))
    ['a', 'b', 'c', 'd', 'e']
    """
    if is_small_fleet(len(gateways)):
        return list(gateways)
    return choose_first(stream, gateways, RESPONDENTS)


def choose_first(stream, gateways, count):
    duty = f"{stream:016x}"
    return heapq.nlargest(
        count, gateways, key=lambda name: (hash_parts(duty, name), name)
    )
