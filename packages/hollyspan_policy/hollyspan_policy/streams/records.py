"""Records of the versions at which the streams of a route have begun."""

from ..hashing import format_hash
from ..ownership import rank_owners

__all__ = ["choose_only_version", "choose_write_delay", "is_record_expired"]

# Gateways that write each record, and the time after which each further one
# writes it in place of those before it.
WRITERS = 3
SUBSTITUTE_DELAY_S = 1.0
# Clocks of machines may differ by this much.
MAX_CLOCK_SKEW_S = 5.0


def choose_write_delay(key, gateway, gateways):
    """Choose when a gateway writes the record of a version.

    Parameters
    ----------
    key : int
        Hash of route and version.
    gateway : str
        Identifier of the gateway that asks.
    gateways : collection of str
        Identifiers of the other live gateways.

    Returns
    -------
    float or None
        Delay in seconds; None if it does not write the record.

    Notes
    -----
    Load pattern: a release or a configuration shows a new version to hundreds
    of gateways in the same moment. Each record is written by a few of them,
    the later ones only if those before have failed.

    Examples
    --------
    >>> choose_write_delay(7, "a", [])
    0.0
    """
    ranked = rank_owners(format_hash(key), [gateway, *gateways])
    rank = ranked.index(gateway)
    return rank * SUBSTITUTE_DELAY_S if rank < WRITERS else None


def choose_only_version(recorded, served):
    """Choose the version that has begun a stream that nobody remembers.

    Parameters
    ----------
    recorded : collection of int
        Keys of the versions in the records of the stream's route.
    served : collection of int
        Keys of the versions at which streams of the route begin now.

    Returns
    -------
    int or None
        None if it may be one of several, or if there is no record.

    Notes
    -----
    Load pattern: all gateways start again at once, and with them those that
    remember the streams end. Their clients come back within seconds.

    Examples
    --------
    >>> choose_only_version({5}, {5})
    5
    >>> choose_only_version({5}, {5, 6}) is None
    True
    """
    versions = set(recorded) | set(served)
    if recorded and len(versions) == 1:
        return versions.pop()
    return None


def is_record_expired(*, unserved_seconds, age, ttl):
    """Return whether no stream of a recorded version is remembered.

    Parameters
    ----------
    unserved_seconds : float
        Time for which this gateway has seen no upstream of the version behind
        the route.
    age : float
        Time since the record was written, by the clocks of two machines.
    ttl : float
        Time for which streams are remembered, seconds.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: several releases a day. A gateway that learns late that a
    version is back must not remove its new record.

    Examples
    --------
    >>> is_record_expired(unserved_seconds=130.0, age=3.0, ttl=120.0)
    False
    """
    return unserved_seconds > ttl and age > ttl + MAX_CLOCK_SKEW_S
