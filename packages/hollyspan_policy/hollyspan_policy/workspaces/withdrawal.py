"""How long keys count as in force without a word from the store."""

from ..hashing import hash_parts

__all__ = [
    "accepts_keys",
    "choose_confirmation_age",
    "choose_retry_interval",
    "estimate_age",
    "rank_confirmer",
]

# Share of the bound for which keys are accepted after a confirmation. The
# rest covers clocks that run at different speeds.
ACCEPTED_SHARE = 0.95
# Shares of the bound after which the first gateway of a region confirms its
# configuration and the second one does, by which each next one waits longer,
# and after which all do.
FIRST_SHARE = 0.2
SECOND_SHARE = 0.3
RANK_SHARE = 0.05
LAST_SHARE = 0.5
# Share of the bound between two attempts of one gateway while keys are
# accepted, the gateways of a region that make them so often, those that look
# for the end of an outage, and the share between two attempts of these.
RETRY_SHARE = 0.2
MAX_FREQUENT_CONFIRMERS = 4
MAX_LOOKOUTS = 2
LOOKOUT_SHARE = 0.05
# Longest way of a datagram between two gateways.
TRANSIT_BOUND_S = 0.25


def accepts_keys(age, *, bound):
    """Decide whether a gateway may run requests by its copy of the keys.

    Parameters
    ----------
    age : float
        Seconds since a call to the store was sent whose answer has confirmed
        the copy; infinity without one.
    bound : float
        Seconds after the withdrawal of a key from which on no request that
        is sent may run under it.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: none; a gateway loses the store, its peers or both, or is
    suspended, while keys are withdrawn. As with a lease [1]_, the holder
    stops by its own clock. A request that is checked now was sent earlier,
    and a key that the copy contains was withdrawn after the confirmation.

    References
    ----------
    .. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant
       mechanism for distributed file cache consistency", SOSP 1989.

    Examples
    --------
    >>> accepts_keys(4.7, bound=5.0), accepts_keys(4.8, bound=5.0)
    (True, False)
    """
    return age <= ACCEPTED_SHARE * bound


def rank_confirmer(identifier, *, runs_batch, others):
    """Return how many gateways of a region confirm before this one.

    Parameters
    ----------
    identifier : str
    runs_batch : bool
        Whether it runs batch work; these watch the store in any case.
    others : iterable of (str, bool)
        Identifiers of the other live gateways of the region that reach the
        store, and whether they run batch work.

    Returns
    -------
    int

    Notes
    -----
    The order is that of `hollyspan_policy.membership.is_store_reader`: those
    that watch the store follow its history, so that a call finds what is new
    without a listing.

    Examples
    --------
    >>> rank_confirmer("f1", runs_batch=False, others=[("w1", True)])
    1
    """
    own = (runs_batch, hash_parts("reader", identifier))
    return sum(
        (is_worker, hash_parts("reader", other)) > own
        for other, is_worker in others
    )


def choose_confirmation_age(rank, *, bound):
    """Return the age of a confirmation at which a gateway asks the store.

    Parameters
    ----------
    rank : int
        Gateways of its region that ask before it.
    bound : float

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: a fleet of hundreds with a bound of seconds. Only one
    gateway of a region asks, the others hear of it before their own turn;
    when it fails, the next one does, and all do before keys are refused.

    Examples
    --------
    >>> [choose_confirmation_age(rank, bound=5.0) for rank in (0, 1, 90)]
    [1.0, 1.5, 2.5]
    """
    if rank == 0:
        return FIRST_SHARE * bound
    return min(LAST_SHARE, SECOND_SHARE + RANK_SHARE * (rank - 1)) * bound


def choose_retry_interval(rank, *, bound, has_expired=False):
    """Return the seconds between two attempts to ask the store.

    Parameters
    ----------
    rank : int
        Gateways of its region that ask before it.
    bound : float
    has_expired : bool, optional
        Whether keys are refused since the last confirmation is too old.

    Returns
    -------
    float

    Notes
    -----
    Load pattern: an outage of the store, which counts refused calls too. The
    first gateways of a region notice its end for the others, at which callers
    wait.

    Examples
    --------
    >>> choose_retry_interval(0, bound=5.0), choose_retry_interval(9, bound=5)
    (1.0, 2.0)
    >>> choose_retry_interval(0, bound=5.0, has_expired=True)
    0.25
    """
    if has_expired and rank < MAX_LOOKOUTS:
        return LOOKOUT_SHARE * bound
    times = 1 if rank < MAX_FREQUENT_CONFIRMERS else 2
    return times * RETRY_SHARE * bound


def estimate_age(told, *, stall):
    """Return the greatest age that a peer's confirmation can have now.

    Parameters
    ----------
    told : float
        Age when the peer sent it, seconds.
    stall : float
        Time for which the receiver may not have read datagrams, seconds.

    Examples
    --------
    >>> estimate_age(1.0, stall=0.5)
    1.75
    """
    return told + TRANSIT_BOUND_S + stall
