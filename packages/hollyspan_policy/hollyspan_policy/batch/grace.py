"""Time for which online requests wait for a slot before items are cut."""

__all__ = ["choose_preemption_grace"]

# A third of the time in which the first event of an online request is due: it
# is in time also when a slot has to be freed by a preemption after all.
PREEMPTION_GRACE_S = 0.1
MIN_GRACE_S = 0.02


def choose_preemption_grace(slowness):
    """Choose the time between a shortage of slots and a preemption.

    Parameters
    ----------
    slowness : float
        How long work takes at the upstream, 1.0 as usual.

    Returns
    -------
    float
        Seconds, at most `PREEMPTION_GRACE_S`.

    Notes
    -----
    Load pattern: waves that fill the upstreams evenly, while several daemons
    send to the same last slot, so that one request too many is at an upstream
    for some hundredths of a second and each such moment would cut an item.
    Online requests are short: of five that run, one ends within the grace
    about every second time. A slow upstream frees its slots later and
    finishes less of an item, so that items yield sooner there.

    Examples
    --------
    >>> choose_preemption_grace(0.6), choose_preemption_grace(2.0)
    (0.1, 0.05)
    """
    return max(MIN_GRACE_S, PREEMPTION_GRACE_S / max(1.0, slowness))
