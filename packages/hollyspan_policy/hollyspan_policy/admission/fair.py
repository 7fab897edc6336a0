"""Weighted max-min division of a capacity among workspaces."""

__all__ = ["compute_share", "divide_capacity"]


def divide_capacity(demands, *, weights, capacity, floor_ratio=0.0):
    """Divide a capacity among workspaces by weighted max-min fairness.

    Parameters
    ----------
    demands : dict
        Work that each workspace asks for, in the unit of the capacity.
    weights : dict
        Weight of each workspace, greater than 0.
    capacity : float
    floor_ratio : float, optional
        Part of its demand that each workspace gets, relative to the part that
        all of them together get; 0 to 1.

    Returns
    -------
    dict
        Work that each workspace gets, at most its demand. Together it is the
        smaller one of the capacity and all demands.

    Notes
    -----
    Load pattern: some workspaces ask for several times their usual while all
    together ask for more than the fleet can serve. Each workspace gets what
    it asks for up to a level in proportion to its weight; what it leaves is
    divided among the others [1]_.

    References
    ----------
    .. [1] D. Bertsekas, R. Gallager, "Data Networks", 2nd ed., section 6.5.2.

    Examples
    --------
    >>> divide_capacity(
    ...     {"a": 1.0, "b": 12.0}, weights={"a": 1.0, "b": 1.0}, capacity=6.0
    ... )
    {'a': 1.0, 'b': 5.0}
    """
    total = sum(demands.values())
    if total <= capacity:
        return dict(demands)
    floor_part = floor_ratio * max(0.0, capacity) / total
    shares = {name: demand * floor_part for name, demand in demands.items()}
    # As the level rises, a workspace's share grows from its floor to its
    # demand.
    changes = sorted(
        change
        for name, weight in weights.items()
        if name in demands
        for change in (
            (shares[name] / weight, weight),
            (demands[name] / weight, -weight),
        )
    )
    left = capacity - sum(shares.values())
    level = growth = 0.0
    for next_level, change in changes:
        if left < growth * (next_level - level):
            break
        left -= growth * (next_level - level)
        level = next_level
        growth += change
    if growth > 0:
        level += left / growth
    return {
        name: min(demands[name], max(shares[name], level * weights[name]))
        for name in demands
    }


def compute_share(demands, workspace, *, weights, capacity):
    """Return what a workspace gets if it asks for as much as there is.

    Parameters
    ----------
    demands : dict
        Work that each workspace asks for.
    workspace : str
    weights : dict
    capacity : float

    Returns
    -------
    float

    Examples
    --------
    >>> compute_share(
    ...     {"a": 1.0}, "b", weights={"a": 1.0, "b": 1.0}, capacity=6.0
    ... )
    5.0
    """
    shares = divide_capacity(
        {**demands, workspace: capacity}, weights=weights, capacity=capacity
    )
    return shares[workspace]
