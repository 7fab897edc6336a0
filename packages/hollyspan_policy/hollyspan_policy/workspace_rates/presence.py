"""Part of the fleet that is heard, before silent daemons have failed."""

__all__ = ["estimate_heard_part"]

# Time in which heartbeats are counted.
RECENT_S = 1.0
# Delay of a heartbeat that is not missed yet.
DELAY_S = 0.2
# Parts above this may be chance.
MAX_CERTAIN_PART = 0.75


def estimate_heard_part(heartbeats, *, now):
    """Estimate which part of the live daemons is still heard.

    Parameters
    ----------
    heartbeats : iterable of (float, float)
        Time of the last heartbeat of each live daemon, and the seconds
        between two of them.
    now : float

    Returns
    -------
    float
        1 unless many heartbeats that were due of late have not come.

    Notes
    -----
    Load pattern: a workspace sends several times its rate, with less than a
    request a second at each of many daemons, while the network parts. In a
    large fleet a pair of daemons hear each other once in seconds, so that the
    membership shows it late; but of half of the fleet nothing comes at all.

    Examples
    --------
    >>> estimate_heard_part([(9.9, 0.3), (9.8, 0.3), (9.4, 0.3)], now=10.0)
    0.6666666666666666
    """
    heard = missed = 0
    for last, interval in heartbeats:
        age = now - last
        recent = min(RECENT_S, interval)
        overdue = age - interval - DELAY_S
        if age < recent:
            heard += 1
        elif overdue > 0.0 and overdue % interval <= recent:
            missed += 1
    if missed <= (1.0 - MAX_CERTAIN_PART) * (heard + missed):
        return 1.0
    return heard / (heard + missed)
