"""Decision whether a stalled run is moved to a faster upstream."""

__all__ = ["helps_to_move"]

# Share of the present time that work must take at most at the other upstream:
# a run that moves has to wait for its prompt to be read again.
MAX_MOVE_RATIO = 0.8


def helps_to_move(slowness, *, other_slowness):
    """Return whether a run that stalls is likely to go on sooner elsewhere.

    Parameters
    ----------
    slowness, other_slowness : float
        How long work takes where it runs and at the other upstream.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: other work slows many machines at the same time, so that
    runs stall and would move to machines that are as slow, where their prompts
    are read again.

    Examples
    --------
    >>> helps_to_move(2.5, other_slowness=1.0)
    True
    >>> helps_to_move(1.1, other_slowness=1.0)
    False
    """
    return other_slowness <= MAX_MOVE_RATIO * slowness
