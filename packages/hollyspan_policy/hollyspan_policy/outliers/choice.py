"""Choice of the upstreams of a service that get no new work."""

__all__ = ["find_outliers"]


def find_outliers(records, *, now, is_repeatable):
    """Return the upstreams to which a request is not sent.

    Parameters
    ----------
    records : dict
        OutlierRecord by upstream, of all that could take work of a service.
    now : float
    is_repeatable : bool
        Whether the request can run elsewhere when it fails.

    Returns
    -------
    set or None
        None when no upstream is sound: then the cause must be elsewhere, and
        none may be set aside.
    """
    refused = {
        upstream
        for upstream, record in records.items()
        if not record.may_run(now=now, is_repeatable=is_repeatable)
    }
    if not refused:
        return refused
    is_any_sound = any(
        upstream not in refused and not record.is_failing()
        for upstream, record in records.items()
    )
    return refused if is_any_sound else None
