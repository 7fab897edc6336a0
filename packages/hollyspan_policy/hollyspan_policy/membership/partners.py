"""Selection of link partners in other data centres."""

from ..ownership import rank_owners

__all__ = ["choose_partners"]

PARTNERS_PER_DATA_CENTRE = 2


def choose_partners(*, instance, data_centre, local_instances, others):
    """Choose the link partners of a daemon.

    Parameters
    ----------
    instance, data_centre : str
        Name and data centre of the daemon.
    local_instances : iterable of str
        Live daemons of the same data centre, including this one.
    others : dict
        Names of live daemons by other data centre.

    Returns
    -------
    list of str
        Contains no daemon of a data centre whose links are kept by other
        daemons of the same data centre.

    Notes
    -----
    Two daemons of each data centre keep links to two daemons of every other
    one. The daemons are ranked separately for each pair of data centres,
    which spreads the links over them.

    Examples
    --------
    >>> choose_partners(
    ...     instance="a",
    ...     data_centre="x",
    ...     local_instances=["a"],
    ...     others={"y": ["b"]},
    ... )
    ['b']
    """
    chosen = []
    for other, names in others.items():
        if (
            instance
            in rank_owners(f"link/{other}", local_instances)[
                :PARTNERS_PER_DATA_CENTRE
            ]
        ):
            chosen.extend(
                rank_owners(f"link/{data_centre}", names)[
                    :PARTNERS_PER_DATA_CENTRE
                ]
            )
    return chosen
