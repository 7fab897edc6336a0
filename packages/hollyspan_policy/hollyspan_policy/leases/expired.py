"""Entries that disappear since their lease has ended in an outage."""

__all__ = ["choose_expired_services"]

# Entries that expire in an outage are at least this share of all.
EXPIRED_SHARE = 0.5
# One entry that disappears alone has been removed.
MIN_EXPIRED_ENTRIES = 2


def choose_expired_services(listed, vanished):
    """Choose the services whose entries may have expired in an outage.

    Parameters
    ----------
    listed : dict
        Number of entries by service, with those that disappear now.
    vanished : dict
        Number of entries that disappear now, by service.

    Returns
    -------
    set
        Services among `vanished`.

    Notes
    -----
    Load pattern: the store was away for seconds, which a waiting watch has not
    noticed, and the leases of most entries have ended. They are registered
    again soon. Upstreams that leave disappear one after the other, also from a
    service of two; the last one of a service is kept for lack of another.

    Examples
    --------
    >>> choose_expired_services({"m": 16, "n": 2}, {"n": 1})
    set()
    >>> sorted(choose_expired_services({"m": 3, "n": 2}, {"m": 2, "n": 1}))
    ['m', 'n']
    >>> choose_expired_services({"m": 16, "n": 1}, {"n": 1})
    {'n'}
    """
    count = sum(vanished.values())
    share = EXPIRED_SHARE * sum(listed.values())
    if count >= MIN_EXPIRED_ENTRIES and count >= share:
        return set(vanished)
    return {
        service
        for service, number in vanished.items()
        if number >= listed[service]
    }
