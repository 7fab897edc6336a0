"""Whether an item without a route can be given up."""

__all__ = ["has_route_ended"]


def has_route_ended(*, accepted_at, read_up_to, is_complete):
    """Return whether a route that is missing in a copy has ended.

    Parameters
    ----------
    accepted_at : int
        Revision of the store at which the item's job was created, on a route
        that existed then.
    read_up_to : int
        Revision of the store that the copy of the routes reflects.
    is_complete : bool
        Whether the copy holds every route of that revision.

    Returns
    -------
    bool
        False if the copy may be older than the route.

    Notes
    -----
    Load pattern: a route is added and a job submitted on it at once. Workers
    follow routes and jobs by independent watches, so a worker can learn of the
    job first, by seconds after a pause of its process.

    Examples
    --------
    >>> has_route_ended(accepted_at=8, read_up_to=7, is_complete=True)
    False
    >>> has_route_ended(accepted_at=8, read_up_to=9, is_complete=True)
    True
    """
    return is_complete and read_up_to >= accepted_at
