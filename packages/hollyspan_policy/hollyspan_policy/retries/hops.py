"""Decisions on requests that several daemons run one after the other."""

__all__ = ["list_passed_over", "must_ask_again"]


def must_ask_again(*, lost, ran, usable):
    """Return whether only upstreams are left whose connections have failed.

    Parameters
    ----------
    lost : collection of str
        Names of the upstreams to which a connection of the request broke off,
        or could not be opened.
    ran : collection of str
        Names of those at which it may have run.
    usable : collection of str
        Names of the upstreams that may run the request at all.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: one link is reset, or refuses connections, and the upstream
    at its other end is the only one of a version. It runs on, and answers
    over a new connection or to another daemon. While others only refuse for
    a moment they are waited for instead.

    Examples
    --------
    >>> must_ask_again(lost={"a"}, ran={"a"}, usable={"a"})
    True
    >>> must_ask_again(lost={"a"}, ran={"a"}, usable={"a", "b"})
    False
    """
    usable = set(usable)
    return not usable.isdisjoint(lost) and usable <= {*lost, *ran}


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
