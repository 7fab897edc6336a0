"""Choice of the upstreams whose paces begin."""

__all__ = ["choose_paced", "is_minority"]

# Share of a service's upstreams that may have a pace at the same time. Where
# more have started, the others cannot serve in their place.
MAX_PACED_SHARE = 0.5
# Time within which upstreams that appear one after the other start together.
START_SPAN_S = 5.0


def choose_paced(records, *, now):
    """Return which of the upstreams that have just started get a pace.

    Parameters
    ----------
    records : dict
        PaceRecord by upstream, of all that could take work of a service.
    now : float
        Seconds.

    Returns
    -------
    list
        All that are pending, or none.

    Notes
    -----
    Load pattern: a fleet that starts, where every upstream is as new as the
    others and each request needs one of them; or a gateway that starts and
    finds a fleet that has served for long.
    """
    pending = [each for each, record in records.items() if record.is_pending]
    if not pending:
        return []
    settled = sum(
        not record.is_pending
        and record.allowed is None
        and record.settled_at + START_SPAN_S <= now
        for record in records.values()
    )
    return pending if is_minority(len(records) - settled, len(records)) else []


def is_minority(paced, total):
    """Return whether so many upstreams of a service may have a pace."""
    return paced <= MAX_PACED_SHARE * total
