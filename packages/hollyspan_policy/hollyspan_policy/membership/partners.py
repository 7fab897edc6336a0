"""Which daemons of other data centres a daemon speaks with."""

from ..ownership import rank_owners

__all__ = ["choose_partners"]

PARTNERS = 2


def choose_partners(*, instance, data_centre, own, others):
    """Choose the link partners of a daemon.

    Parameters
    ----------
    instance, data_centre : str
        The daemon.
    own : iterable of str
        Live daemons of its data centre, itself included.
    others : dict
        Names of daemons by other data centre.

    Returns
    -------
    list of str
        Empty for the data centres that other daemons of its own speak with.

    Notes
    -----
    Two daemons of each data centre speak with two of each other one. The
    duties are ranked for each pair of data centres, so that they spread over
    the daemons.

    Examples
    --------
    >>> choose_partners(
    ...     instance="a", data_centre="x", own=["a"], others={"y": ["b"]}
    ... )
    ['b']
    """
    chosen = []
    for other, names in others.items():
        if instance in rank_owners(f"link/{other}", own)[:PARTNERS]:
            chosen.extend(rank_owners(f"link/{data_centre}", names)[:PARTNERS])
    return chosen
