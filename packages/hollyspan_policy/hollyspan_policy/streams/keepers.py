"""Choice of the gateways that remember a stream."""

from ..hashing import format_hash
from ..membership import is_small_fleet
from ..ownership import rank_owners

__all__ = ["choose_keepers", "choose_respondents", "may_miss_streams"]

# Gateways that are told of a stream: two of them may restart, or one restart
# and one datagram be lost, while the client is on its way back.
KEEPERS = 3
# In a large fleet, those that are told of it by the request's fingerprint, for
# the callers that do not name the stream.
FINGERPRINT_KEEPERS = 2
# Gateways that are asked in a large fleet: keepers move down by one place for
# each gateway that appears, and up for each that fails.
RESPONDENTS = 8
# Up to this number all are asked, twice as many as in a small fleet: gateways
# may disagree on whether the fleet is small.
MAX_ALL_ASKED = 48


def choose_keepers(stream, fingerprint, gateways, *, apart=()):
    """Choose the gateways that are told which version began a stream.

    Parameters
    ----------
    stream : int
        Hash of the identifier of the request that began it.
    fingerprint : int
        Of the request.
    gateways : collection of str
        Identifiers of the live gateways but the one that tells.
    apart : collection of str, optional
        Those among them that serve no clients.

    Returns
    -------
    dict
        Tuple of the keys that a gateway is told, by its identifier.

    Notes
    -----
    Load pattern: 2,400 streams a second begin at 390 gateways, few of them
    are taken up again, each at any gateway. Rendezvous hashing lets each
    gateway compute the same keepers from the stream's keys. In a small fleet
    all gateways that serve clients may restart at once, so that one keeper is
    of those that do not.

    Examples
    --------
    >>> keepers = choose_keepers(7, 8, ["a", "b", "c", "d", "e"], apart=["e"])
    >>> len(keepers), "e" in keepers, set(keepers.values())
    (3, True, {(7, 8)})
    """
    if is_small_fleet(len(gateways)):
        # All are asked; those that are told alike know of two versions.
        keepers = choose_first(fingerprint, apart, 1)
        keepers += [
            name
            for name in choose_first(fingerprint, gateways, KEEPERS)
            if name not in keepers
        ]
        keepers = keepers[:KEEPERS]
        return dict.fromkeys(keepers, (stream, fingerprint))
    keys = dict.fromkeys(choose_first(stream, gateways, KEEPERS), (stream,))
    for name in choose_first(fingerprint, gateways, FINGERPRINT_KEEPERS):
        keys[name] = (*keys.get(name, ()), fingerprint)
    return keys


def choose_respondents(key, gateways):
    """Choose the gateways that are asked for a stream's version.

    Parameters
    ----------
    key : int
        Hash of the identifier of the request that began it, or the request's
        fingerprint.
    gateways : collection of str
        Identifiers of the live gateways but the one that asks.

    Returns
    -------
    list of str
        In a small fleet all, among them the one that began the stream.

    Examples
    --------
    >>> sorted(choose_respondents(7, ["a", "b", "c", "d", "e"]))
    ['a', 'b', 'c', 'd', 'e']
    """
    if len(gateways) <= MAX_ALL_ASKED:
        return list(gateways)
    return choose_first(key, gateways, RESPONDENTS)


def may_miss_streams(forgetful, *, others):
    """Return whether no gateway that is asked may remember a stream.

    Parameters
    ----------
    forgetful : int
        Number of gateways that have lately started again, ended or forgotten
        streams, or do not answer.
    others : int
        Number of the other live gateways.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: all gateways, or a data centre of them, are killed at once.
    A client then sends the same request anew, and its stream begins at another
    version. What is known by the request's fingerprint is of this stream, and
    tells nothing of an earlier one.

    Examples
    --------
    >>> may_miss_streams(3, others=6)
    False
    >>> may_miss_streams(4, others=6)
    True
    """
    if is_small_fleet(others):
        # All are asked, also the one that began the stream.
        return forgetful > min(KEEPERS, others)
    return forgetful >= FINGERPRINT_KEEPERS


def choose_first(key, gateways, count):
    return rank_owners(format_hash(key), gateways)[:count]
