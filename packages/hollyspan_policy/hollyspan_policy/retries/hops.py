"""Decisions on requests that several daemons run one after the other."""

__all__ = ["list_passed_over"]


def list_passed_over(*, ran_here, ran_elsewhere, usable):
    """Return the upstreams that another daemon's attempts rule out.

    Parameters
    ----------
    ran_here : collection of str
        Names of the upstreams at which this daemon's attempts may have run.
    ran_elsewhere : collection of str
        Names of those at which the attempts of others may have run.
    usable : collection of str
        Names of the upstreams that may run the request at all.

    Returns
    -------
    set of str
        Those of `ran_elsewhere`, or none if nothing else is usable.

    Notes
    -----
    Load pattern: upstreams stand still for a second, daemons ask each other to
    go on, and a request has one attempt left. At an upstream that has broken
    it off or is silent it would be wasted, also while the others are full for
    a moment. The attempt may have failed on the way, though, so that the only
    upstream of a version is asked again.

    Examples
    --------
    >>> list_passed_over(
    ...     ran_here=(), ran_elsewhere=("a",), usable=("a", "b")
    ... )
    {'a'}
    >>> list_passed_over(
    ...     ran_here=("b",), ran_elsewhere=("a",), usable=("a", "b")
    ... )
    set()
    """
    if set(usable) <= {*ran_here, *ran_elsewhere}:
        return set()
    return set(ran_elsewhere)
