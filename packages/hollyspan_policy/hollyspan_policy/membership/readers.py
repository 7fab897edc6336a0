"""Choice of the daemons that watch the store for the others."""

from ..hashing import hash_parts

__all__ = ["is_store_reader"]

# Readers of a region: with two, one of them may be lost or cut off from the
# store before the others have noticed.
MIN_READERS = 2


def is_store_reader(identifier, *, runs_batch, others):
    """Decide whether a daemon watches the store itself.

    Parameters
    ----------
    identifier : str
        Identifier of the daemon.
    runs_batch : bool
        Whether it runs batch work.
    others : iterable of (str, bool)
        Identifiers of the other live daemons of its region that reach the
        store and are not shutting down, and whether they run batch work.

    Returns
    -------
    bool
        True for all daemons that run batch work, and, where fewer than two of
        the others do, for as many further daemons as are missing, chosen by
        rendezvous hashing [1]_. Daemons that differ in who they believe to be
        live may choose a few more.

    Notes
    -----
    Load pattern: hundreds of daemons that each watch the store are woken by
    each change and make as many calls at once, and a store that recovers from
    an outage meets the retries of all of them.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase
       hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> is_store_reader("f1", runs_batch=False, others=[])
    True
    >>> workers = [("w1", True), ("w2", True)]
    >>> is_store_reader("f1", runs_batch=False, others=workers)
    False
    """
    if runs_batch:
        return True
    others = list(others)
    missing = MIN_READERS - sum(is_worker for _, is_worker in others)
    if missing <= 0:
        return False
    own_weight = hash_parts("reader", identifier)
    stronger = sum(
        hash_parts("reader", other) > own_weight
        for other, is_worker in others
        if not is_worker
    )
    return stronger < missing
